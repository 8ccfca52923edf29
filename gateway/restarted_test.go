package gateway

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// restartTarget is the target of the requests to endpoints that restart.
const restartTarget = time.Second

// restarts is a dispatcher with six endpoints of a service "s", of which a starts again under
// its id. It runs in a synctest bubble.
type restarts struct {
	*dispatcher
	entries []registry.Entry
}

func newRestarts() *restarts {
	r := &restarts{dispatcher: newDispatcher(Settings{AvailabilityZone: "z"}, rand.New(rand.NewPCG(1, 2)))}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		r.entries = append(r.entries, registry.Entry{ID: id, Service: "s", Address: "10.0.0." + id + ":1", Zone: "z", Slots: 64, Born: 1})
	}
	r.list()
	return r
}

// list applies the directory.
func (r *restarts) list() {
	r.updateRegistry(func(now time.Time, g *registry.Registry) []registry.Change { return g.Replace(now, r.entries) })
}

// restart lists the next process of endpoint a, at the same address if it is empty.
func (r *restarts) restart(address string) {
	r.entries[0].Born++
	if address != "" {
		r.entries[0].Address = address
	}
	r.list()
}

// send sends a stream to endpoint a.
func (r *restarts) send(t *testing.T) relay.PlacedAttempt {
	t.Helper()
	return r.sendTo(t, "a")
}

// sendTo sends a stream to an endpoint.
func (r *restarts) sendTo(t *testing.T, id string) relay.PlacedAttempt {
	t.Helper()
	var excluded []string
	for _, e := range r.entries {
		if e.ID != id {
			excluded = append(excluded, e.ID)
		}
	}
	work := &placement.Work{Service: "s", Streaming: true, PromptTokens: 500, OutputTokens: 100, Target: restartTarget, Excluded: excluded}
	attempt, refusal := r.Admit(work, relay.AdmissionRequest{Route: "r", TimeLeft: 10 * time.Second})
	if refusal != nil {
		t.Fatalf("endpoint %s gets no request: %+v", id, refusal)
	}
	return attempt
}

// takesWork reports whether endpoint a gets requests while there is another endpoint.
func (r *restarts) takesWork() bool {
	r.refresh()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	weight, ejected := r.health.Health(now, "a")
	return weight == 1 && !ejected && !r.reach.LeftOut(now, placement.Hash("a")) && !r.pauses.Paused(now, placement.Hash("a"))
}

// lateResults are results of attempts that are known only after the next process is: of a
// machine that went silent, whose connections are given up seconds later.
var lateResults = map[string]relay.AttemptResult{
	"broken": relay.ResultBroken, "unreachable": relay.ResultUnreachable, "replaced": relay.ResultReplaced, "failed": relay.ResultServerError,
}

// Guards against a new process that gets no requests, here and at the peers, because of
// attempts at the process before that end only after its entry is known.
func TestRestartedEndpointIsNotBlamedForTheProcessBefore(t *testing.T) {
	for name, result := range lateResults {
		for _, address := range []string{"", "10.0.0.3:1"} {
			t.Run(name+" "+address, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRestarts()
					var before []relay.PlacedAttempt
					for range 10 {
						before = append(before, r.send(t))
					}
					time.Sleep(time.Second)
					r.restart(address)
					for _, attempt := range before {
						attempt.Ended(result)
					}
					time.Sleep(healthRefreshInterval)
					if !r.takesWork() {
						t.Error("the new process gets no requests")
					}
					if stated := r.statement(time.Now(), time.Now()).Unreachable; len(stated) > 0 {
						t.Error("peers are told that the new process is unreachable")
					}
				})
			})
		}
	}
}

// Guards against a new process that is ejected as slow because streams at the process before
// still wait for their first event.
func TestRestartedEndpointIsNotSlowByWaitsAtTheProcessBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRestarts()
		for range 10 {
			r.send(t)
		}
		r.restart("10.0.0.3:1")
		for n := range 100 {
			var others []relay.PlacedAttempt
			for _, e := range r.entries[1:] {
				others = append(others, r.sendTo(t, e.ID))
			}
			time.Sleep(50 * time.Millisecond)
			for _, attempt := range others {
				attempt.Started()
				attempt.Ended(relay.ResultComplete)
			}
			if !r.takesWork() {
				t.Fatalf("the new process has lost weight before its first request, after %d steps", n)
			}
		}
	})
}
