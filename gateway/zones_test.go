package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

func spillDispatcher(on bool) *dispatcher {
	return newDispatcher(Settings{AvailabilityZone: "z", Features: Features{ZoneSpill: &on}}, rand.New(rand.NewPCG(1, 2)))
}

// Guards against a request that is refused because the own zone is too slow for its deadline
// while the share is still 0, although another zone would serve it in time.
func TestNoRequestIsRefusedWhileAnotherZoneCanServeIt(t *testing.T) {
	d := spillDispatcher(true)
	d.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
		return r.Replace(now, []registry.Entry{
			{ID: "own", Service: "s", Address: "own", Zone: "z", Slots: 4},
			{ID: "other", Service: "s", Address: "other", Zone: "y", Slots: 4},
		})
	})
	d.fleet.PeerLoads(time.Now(), "peer", map[uint64]placement.Load{placement.Hash("own"): {Running: 400}})
	attempt, refusal := d.Admit(&placement.Work{Service: "s", Target: time.Second}, relay.AdmissionRequest{TimeLeft: time.Second})
	if refusal != nil {
		t.Fatalf("refused: %s", refusal.Reason)
	}
	if id := attempt.Choice().Endpoint.ID; id != "other" {
		t.Errorf("the request went to %s, want other", id)
	}
}

// Guards against connections that wait for the dispatcher's mutex with the feature off.
func TestConnectionsAreTimedOnlyWithZoneSpill(t *testing.T) {
	for _, on := range []bool{false, true} {
		if timed := spillDispatcher(on).onConnected() != nil; timed != on {
			t.Errorf("feature %v: connections are timed: %v", on, timed)
		}
	}
}
