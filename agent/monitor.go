package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

const (
	// checkInterval is how often the endpoint's health route is asked.
	checkInterval = 500 * time.Millisecond

	// downAfter is how many checks in a row must fail before the agent refuses
	// work; one lost check must not turn work away.
	downAfter = 2

	// modelsInterval is how often the engine is asked what it serves.
	modelsInterval = 5 * time.Second
)

// monitor watches the endpoint and sets the worker's state.
type monitor struct {
	backend endpoint.Backend
	worker  *worker.Worker
	states  *telemetry.StateLog
	up      *telemetry.Gauge[telemetry.NoLabels]
	crashes *telemetry.Counter[telemetry.NoLabels]
	fixed   []string

	failed int
	wasUp  bool
	asked  time.Time

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

func (m *monitor) check(ctx context.Context) {
	if err := m.backend.Check(ctx); err != nil {
		m.down(err)
		return
	}
	m.failed = 0
	m.refreshModels(ctx)
	// The worker may have seen a crash that fell between two checks.
	m.worker.SetState(rpc.AgentState_AGENT_STATE_SERVING)
	if m.wasUp {
		return
	}
	m.wasUp = true
	m.up.Set(1, telemetry.NoLabels{})
	m.states.Report(telemetry.StateChange{Subject: "endpoint", State: "up"})
}

func (m *monitor) down(err error) {
	m.failed++
	if m.failed < downAfter || !m.wasUp {
		return
	}
	m.wasUp = false
	m.worker.SetState(rpc.AgentState_AGENT_STATE_DOWN)
	m.up.Set(0, telemetry.NoLabels{})
	m.crashes.Add(1, telemetry.NoLabels{})
	m.states.Report(telemetry.StateChange{Subject: "endpoint", State: "down", Cause: err.Error(), Warn: true})
}

// refreshModels asks what the engine serves. After an error the last list stays.
func (m *monitor) refreshModels(ctx context.Context) {
	if len(m.fixed) > 0 {
		m.setModels(m.fixed)
		return
	}
	if time.Since(m.asked) < modelsInterval {
		return
	}
	m.asked = time.Now()
	models, err := m.backend.Models(ctx)
	if err == nil {
		m.setModels(models)
	}
}

func (m *monitor) setModels(models []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.models = slices.Clone(models)
}

// Models returns what the endpoint serves.
func (m *monitor) Models() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.models
}
