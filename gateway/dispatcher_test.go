package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// Guards against requests that are sent again and again to endpoints that are gone, only
// to be rejected: engines crash and come back under new ids at the old addresses before
// the directory shows it, and the old entries look idle.
func TestEndpointsThatAreNotThereGetNoFurtherRequests(t *testing.T) {
	for _, result := range []relay.AttemptResult{relay.ResultUnreachable, relay.ResultReplaced} {
		d := newDispatcher(Settings{AvailabilityZone: "z"}, rand.New(rand.NewPCG(1, 2)))
		var entries []registry.Entry
		for _, id := range []string{"a", "b", "c"} {
			entries = append(entries, registry.Entry{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4})
		}
		d.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change { return r.Replace(now, entries) })
		admit := func() relay.PlacedAttempt {
			attempt, refusal := d.Admit(&placement.Work{Service: "s", Target: time.Second}, relay.AdmissionRequest{TimeLeft: time.Second})
			if refusal != nil {
				t.Fatalf("refused: %s", refusal.Reason)
			}
			return attempt
		}
		first := admit()
		gone := first.Choice().Endpoint.ID
		first.Ended(result)
		for range 20 {
			if id := admit().Choice().Endpoint.ID; id == gone {
				t.Fatalf("result %d: %s was chosen again", result, id)
			}
		}
		if n := len(d.statement(time.Now(), time.Now()).Unreachable); n != 1 {
			t.Errorf("result %d: %d unreachable endpoints are stated to peers, want 1", result, n)
		}
	}
}
