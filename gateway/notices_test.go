package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// twoEndpointDispatcher returns a dispatcher with the endpoints a and b.
func twoEndpointDispatcher(t *testing.T) *dispatcher {
	t.Helper()
	d := newDispatcher(Settings{AvailabilityZone: "z"}, rand.New(rand.NewPCG(1, 2)))
	entries := []registry.Entry{
		{ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 4, Born: 1},
		{ID: "b", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 4, Born: 1},
	}
	d.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change { return r.Replace(now, entries) })
	return d
}

// admit admits a request of the given rank.
func admit(t *testing.T, d *dispatcher, rank int) (relay.PlacedAttempt, *relay.Refusal) {
	t.Helper()
	return d.Admit(&placement.Work{Service: "s", Target: time.Second},
		relay.AdmissionRequest{TimeLeft: time.Second, Priority: routing.Priority{Rank: rank}})
}

// Guards against requests to an endpoint after it announced that it is leaving, at this
// gateway and at its peers, even if the directory shows the endpoint as ready.
func TestLeavingEndpointGetsNoFurtherRequest(t *testing.T) {
	d, peer := twoEndpointDispatcher(t), twoEndpointDispatcher(t)
	first, _ := admit(t, d, 0)
	leaving := first.Choice().Endpoint.ID
	for range 3 {
		first.HandleNotice(relay.Notice{Leaving: true})
	}
	if stated := d.statement(time.Now(), time.Now()).Leaving; len(stated) != 1 {
		t.Fatalf("the leaving endpoint is stated to peers %d times, want once", len(stated))
	}
	peer.applyStatement(time.Now(), &wire.Statement{Sender: "10.0.0.9:9", Leaving: d.statement(time.Now(), time.Now()).Leaving})
	for _, gateway := range []*dispatcher{d, peer} {
		gateway.updateRegistry(func(_ time.Time, r *registry.Registry) []registry.Change {
			c, _ := r.Put(registry.Entry{ID: leaving, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 8, Born: 1})
			return []registry.Change{c}
		})
		for range 10 {
			if attempt, _ := admit(t, gateway, 0); attempt.Choice().Endpoint.ID == leaving {
				t.Fatal("the leaving endpoint was chosen")
			}
		}
	}
}

// Guards against a notice of another endpoint at a reused address that takes the
// expected endpoint out of use, and against losing the notice for the other one.
func TestNoticeOfAnotherEndpointAtTheAddress(t *testing.T) {
	d := twoEndpointDispatcher(t)
	d.applyNotice(registry.Incarnation{ID: "a", Born: 1}, "10.0.0.2:1", time.Now(), relay.Notice{Leaving: true, OtherEndpoint: true})
	for range 10 {
		if attempt, _ := admit(t, d, 0); attempt.Choice().Endpoint.ID != "a" {
			t.Fatal("the leaving endpoint was chosen")
		}
	}
}

// Guards against requests to full endpoints that asked for a pause, and against a
// Retry-After at which no endpoint accepts requests yet: every endpoint is full and
// states a pause. Callers are refused at once, with a Retry-After at which the first
// endpoint accepts requests again; urgent callers retry before others.
func TestCallersReturnWhenTheFirstFullEndpointWantsRequests(t *testing.T) {
	d := twoEndpointDispatcher(t)
	for _, pause := range []time.Duration{4 * time.Second, 9 * time.Second} {
		attempt, _ := admit(t, d, 0)
		attempt.HandleNotice(relay.Notice{Pause: pause})
	}
	for rank := range 3 {
		attempt, refusal := admit(t, d, rank)
		if attempt != nil {
			t.Fatalf("rank %d: a request goes to a full endpoint", rank)
		}
		from := 4*time.Second + time.Duration(rank)*retrySpread
		if after := refusal.RetryAfter; after < from-time.Second/4 || after > from+retrySpread {
			t.Errorf("rank %d: Retry-After %v, want %v to %v", rank, after, from, from+retrySpread)
		}
	}
	if pauses := d.statement(time.Now(), time.Now()).Pauses; len(pauses) != 2 {
		t.Errorf("%d pauses are stated to peers, want 2", len(pauses))
	}
}

// Guards against reverting to an older configuration when the store comes back from an
// older copy, and against missing a new one because its version number was already used
// in an earlier era.
func TestConfigurationAcrossEras(t *testing.T) {
	config := func(version int64, era uint64, routes int) routing.Config {
		return routing.Config{Version: version, Era: era, Routes: make([]routing.Route, routes)}
	}
	g := New(Options{Settings: Settings{}, Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 2))})
	for _, step := range []struct {
		seen   routing.Config
		routes int
	}{
		{config(5, 1, 1), 1},
		{config(9, 1, 2), 2},
		{config(5, 2, 1), 2}, // The store shows the older copy.
		{config(7, 2, 1), 2}, // The operators write their versions again one by one.
		{config(9, 2, 3), 3}, // The same version with different content.
		{config(9, 1, 2), 3}, // A late answer from the previous era.
		{config(12, 2, 4), 4},
	} {
		g.ConfigSeen(step.seen)
		if got := len(g.table.Load().Routes); got != step.routes {
			t.Fatalf("after version %d of era %d: %d routes in force, want %d", step.seen.Version, step.seen.Era, got, step.routes)
		}
	}
}
