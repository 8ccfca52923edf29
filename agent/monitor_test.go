package agent

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/agent/endpoint"
	"github.com/pistachiowind/pistachiowind/agent/worker"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/telemetry"
)

// restartingEngine is an engine that starts again with other models.
type restartingEngine struct {
	endpoint.Backend
	models      []string
	connections uint64
	// closes is set if it closes the connection after each health check.
	closes bool
	// down and silent are set while it fails its health checks and does not list its models.
	down, silent bool
	asked        int
}

var errNoAnswer = errors.New("no answer")

func (e *restartingEngine) Check(context.Context) error {
	if e.down {
		return errNoAnswer
	}
	if e.closes {
		e.connections++
	}
	return nil
}

func (e *restartingEngine) Models(context.Context) ([]string, error) {
	if e.silent {
		return nil, errNoAnswer
	}
	e.asked++
	return e.models, nil
}

func (e *restartingEngine) ProbeConnections() uint64 { return e.connections }

// crashObserver ignores the crashes that a worker reports.
type crashObserver struct{ worker.Observer }

func (crashObserver) Crashed() {}

// newMonitor returns the monitor of an engine that it has checked for a second.
func newMonitor(e *restartingEngine) *monitor {
	w := worker.New(worker.Options{Backend: e, Observer: crashObserver{}, Limiter: worker.FixedLimiter{Slots: 1}})
	m := &monitor{backend: e, worker: w, states: telemetry.NewStateLog(zerolog.Nop(), func(telemetry.StateChange) {})}
	m.checkFor(time.Second)
	return m
}

// checkFor checks the engine for a time.
func (m *monitor) checkFor(d time.Duration) {
	for range d / checkInterval {
		m.check(context.Background())
		time.Sleep(checkInterval)
	}
}

// Guards against an agent that offers the models of the engine's process before for seconds
// after the engine has started again with others: requests for them are refused by the engine,
// or go on with the text of another version.
func TestModelsOfARestartedEngineAreKnownAtTheNextCheck(t *testing.T) {
	for name, restart := range map[string]func(e *restartingEngine, m *monitor){
		"a check fails":         func(e *restartingEngine, m *monitor) { e.down = true; m.checkFor(checkInterval); e.down = false },
		"down for checks":       func(e *restartingEngine, m *monitor) { e.down = true; m.checkFor(time.Second); e.down = false },
		"the connection ends":   func(e *restartingEngine, _ *monitor) { e.connections++ },
		"a run shows the crash": func(_ *restartingEngine, m *monitor) { m.worker.SetState(rpc.AgentState_AGENT_STATE_DOWN) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &restartingEngine{models: []string{"m:1"}, connections: 1}
				m := newMonitor(e)
				e.models = []string{"m:2"}
				restart(e, m)
				e.silent = true
				m.checkFor(checkInterval)
				if got := m.Models(); len(got) > 0 {
					t.Errorf("models %v are offered before the engine has listed its own", got)
				}
				e.silent = false
				m.checkFor(checkInterval)
				if got := m.Models(); !slices.Equal(got, []string{"m:2"}) {
					t.Errorf("models %v, want m:2", got)
				}
			})
		})
	}
}

// Guards against an agent that asks its engine for the models at each check: a kept connection
// shows that the process is the same, and an engine that closes each connection shows nothing.
func TestModelsAreAskedRarelyInCalm(t *testing.T) {
	for _, closes := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := &restartingEngine{models: []string{"m:1"}, connections: 1, closes: closes}
			m := newMonitor(e)
			before := e.asked
			m.checkFor(time.Minute)
			if n := e.asked - before; n > int(time.Minute/modelsRefreshInterval)+1 {
				t.Errorf("closes %t: asked %d times in a minute", closes, n)
			}
		})
	}
}
