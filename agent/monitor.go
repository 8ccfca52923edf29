package agent

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// checkInterval is how often the endpoint's health route is polled.
	checkInterval = 500 * time.Millisecond

	// failedChecksUntilDown is how many checks in a row must fail before the agent
	// refuses work; a single failed check must not.
	failedChecksUntilDown = 2

	// modelsRefreshInterval is how often the engine is asked for its models.
	modelsRefreshInterval = 5 * time.Second
)

// monitor polls the endpoint's health and models, and sets the worker's state.
type monitor struct {
	backend          endpoint.Backend
	worker           *worker.Worker
	states           *telemetry.StateLog
	configuredModels []string

	failedChecks  int
	up            atomic.Bool
	modelsAskedAt time.Time
	// modelsOutdated is set while the models may be those of the engine's process before.
	modelsOutdated bool
	// connections is the number of connections for checks at the last one, and
	// newConnection whether it opened one.
	connections   uint64
	newConnection bool

	mu     sync.Mutex
	models []string
}

// String names the service in the supervisor's reports.
func (m *monitor) String() string { return "endpoint monitor" }

// Serve checks the endpoint until ctx ends.
func (m *monitor) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		m.check(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// check polls the endpoint once.
func (m *monitor) check(ctx context.Context) {
	if err := m.backend.Check(ctx); err != nil {
		m.checkFailed(err)
		return
	}
	m.modelsOutdated = m.modelsOutdated || m.mayHaveRestarted()
	m.failedChecks = 0
	m.refreshModels(ctx)
	// The worker may have set another state after a crash between two checks.
	m.worker.SetState(rpc.AgentState_AGENT_STATE_SERVING)
	if m.up.Swap(true) {
		return
	}
	m.states.Report(telemetry.StateChange{Subject: "endpoint", State: "up"})
}

// connectionCounter is implemented by a Backend that keeps its connection between checks.
// ProbeConnections returns the number of connections that were opened for checks.
type connectionCounter interface {
	ProbeConnections() uint64
}

// mayHaveRestarted reports whether the endpoint may be another process than at the check
// before: that one failed, a run has shown a crash since, or the connection that was kept has
// ended. An endpoint that closes each connection shows nothing by that.
func (m *monitor) mayHaveRestarted() bool {
	crashed := m.failedChecks > 0 || m.up.Load() && m.worker.State() == rpc.AgentState_AGENT_STATE_DOWN
	counter, ok := m.backend.(connectionCounter)
	if !ok {
		return crashed
	}
	n := counter.ProbeConnections()
	opened, keeps := n != m.connections, !m.newConnection
	m.connections, m.newConnection = n, opened
	return crashed || opened && keeps
}

// checkFailed counts a failed check and reports the endpoint as down after
// failedChecksUntilDown of them in a row.
func (m *monitor) checkFailed(err error) {
	m.failedChecks++
	if m.failedChecks < failedChecksUntilDown || !m.up.Swap(false) {
		return
	}
	m.worker.SetState(rpc.AgentState_AGENT_STATE_DOWN)
	m.states.Report(telemetry.StateChange{Subject: "endpoint", State: "down", Cause: err.Error(), Warn: true})
}

// refreshModels asks the engine for its models. After an error the last list stays, unless the
// engine may have started again, which is then asked at the next check.
func (m *monitor) refreshModels(ctx context.Context) {
	if len(m.configuredModels) > 0 {
		m.setModels(m.configuredModels)
		return
	}
	if !m.modelsOutdated && time.Since(m.modelsAskedAt) < modelsRefreshInterval {
		return
	}
	m.modelsAskedAt = time.Now()
	models, err := m.backend.Models(ctx)
	switch {
	case err == nil:
		m.setModels(models)
		m.modelsOutdated = false
	case m.modelsOutdated:
		m.setModels(nil)
	}
}

func (m *monitor) setModels(models []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.models = slices.Clone(models)
}

// Models returns the names of the models that the endpoint serves.
func (m *monitor) Models() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.models
}
