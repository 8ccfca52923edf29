package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/ratelimit"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// partHolder is a PartLister for which only the engine at one address answers, with one
// part.
type partHolder struct {
	address string
	part    placement.Part
}

func (h partHolder) List(_ context.Context, address string) ([]placement.Part, relay.Notice, error) {
	if address != h.address {
		return nil, relay.Notice{}, errors.New("no answer")
	}
	return []placement.Part{h.part}, relay.Notice{}, nil
}

// restartedGateway returns a gateway that has just started, with six engines.
func restartedGateway(t *testing.T, parts PartLister) *Gateway {
	g := New(Options{
		Settings: Settings{AvailabilityZone: "z"}, PartLister: parts, Log: zerolog.Nop(), Rand: rand.New(rand.NewPCG(1, 2)),
	})
	g.ConfigSeen(routing.Config{Version: 1, Services: []routing.Service{
		{Name: "pool", Engine: &routing.Engine{Slots: 64, MemoryTokens: 600_000, TokensPerEvent: 4}},
	}})
	var entries []registry.Entry
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		entries = append(entries, registry.Entry{ID: id, Service: "pool", Address: id, Zone: "z", Slots: 64})
	}
	g.EndpointsListed(entries)
	return g
}

// Guards against a restarted gateway that refuses work, and spreads shared prompt parts
// over the engines, because it expects every part to be prefilled again: all gateways
// are killed under load and restarted, while the engines keep the parts cached.
func TestGatewayThatStartsLearnsWhatEnginesKeep(t *testing.T) {
	shared := placement.Part{ID: 7, Tokens: 13_000}
	work := &placement.Work{
		Service: "pool", Streaming: true, PromptTokens: 14_000, Target: time.Second,
		Parts: []placement.Part{shared, {ID: 8, Tokens: 1000}},
	}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		g := restartedGateway(t, partHolder{address: id, part: shared})
		g.askEngines(t.Context(), rand.New(rand.NewPCG(1, 2)))
		choice, _ := g.dispatcher.fleet.Choose(time.Now(), work)
		if choice.Endpoint.ID != id || choice.Uncached != 1000 {
			t.Errorf("holder %s: work goes to %s, which is expected to read %d tokens", id, choice.Endpoint.ID, choice.Uncached)
		}
	}
}

// countingLister counts the lists that it is asked for.
type countingLister struct{ asked int }

func (l *countingLister) List(context.Context, string) ([]placement.Part, relay.Notice, error) {
	l.asked++
	return nil, relay.Notice{ToThisRequest: true, Limit: ratelimit.Report{State: ratelimit.Limited, PerSecond: 1}}, nil
}

// Guards against requests for the list of cached parts that come on top of the limit of an
// engine: each counts as a request, and an engine without allowance is not asked.
func TestListOfCachedPartsCountsAgainstTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &countingLister{}
		g := restartedGateway(t, lister)
		entry := registry.Entry{ID: "a", Service: "pool", Address: "a", Zone: "z", Slots: 64}
		// The first list, at most two saved slots and one a second are allowed.
		for range 100 {
			g.loadPartsOf(t.Context(), entry)
			time.Sleep(100 * time.Millisecond)
		}
		if lister.asked < 8 || lister.asked > 14 {
			t.Errorf("the engine was asked for %d lists in 10 s, want about one a second", lister.asked)
		}
	})
}

// Guards against each of many gateways asking each engine for its list: gateways get
// the parts of the other engines from a peer.
func TestPeerTellsCachedParts(t *testing.T) {
	shared := placement.Part{ID: 7, Tokens: 13_000}
	first := restartedGateway(t, partHolder{address: "c", part: shared})
	first.askEngines(t.Context(), rand.New(rand.NewPCG(1, 2)))
	response, err := peerServer{first}.CachedParts(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	second := restartedGateway(t, nil)
	second.dispatcher.addPeerParts(response.Placements)
	if again := second.dispatcher.partsToSend(); len(again) != 1 || again[0].Part != shared.ID || again[0].Tokens != 13_000 {
		t.Fatalf("the second gateway knows %v", again)
	}
}
