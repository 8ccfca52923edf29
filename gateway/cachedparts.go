package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

const (
	// askPartsTimeout bounds the answer of one engine or peer.
	askPartsTimeout = 300 * time.Millisecond
	// askPartsAtOnce is the number of engines that are asked at the same time.
	askPartsAtOnce = 4
	// askPartsPause is how often a starting gateway looks whether it knows the
	// endpoints.
	askPartsPause = 5 * time.Millisecond
	// maxEnginesAsked bounds the engines that a gateway asks, as a list delays the
	// engine's work and all gateways may start at once. The others' lists come from
	// peers.
	maxEnginesAsked = 16
	// peersAsked is the number of peers that are asked, and sharePartsAfter when: all
	// have the lists of their engines by then.
	peersAsked      = 3
	sharePartsAfter = 400 * time.Millisecond
	// maxPartsStated bounds the parts in an answer to a peer; each takes 20 bytes.
	maxPartsStated = 100_000
)

// PartLister asks an engine at IP:PORT which parts of prompts it keeps.
type PartLister interface {
	List(ctx context.Context, address string) ([]placement.Part, relay.Notice, error)
}

// learnParts asks each engine once what it keeps. A gateway that starts while the
// engines run would otherwise expect that they read all parts again.
func (g *Gateway) learnParts(ctx context.Context, rng *rand.Rand) error {
	ticker := time.NewTicker(askPartsPause)
	defer ticker.Stop()
	for !g.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	if all := g.askEngines(ctx, rng); !all && pause(ctx, sharePartsAfter) {
		g.askPeersForParts(ctx)
	}
	<-ctx.Done()
	return ctx.Err()
}

// pause waits for d; false when ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askEngines asks some of the engines and reports whether these are all.
func (g *Gateway) askEngines(ctx context.Context, rng *rand.Rand) bool {
	entries, _ := g.dispatcher.entries()
	entries = slices.DeleteFunc(entries, func(e registry.Entry) bool { return e.Draining || !g.isEngine(e) })
	rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	group := errgroup.Group{}
	group.SetLimit(askPartsAtOnce)
	for _, e := range entries[:min(len(entries), maxEnginesAsked)] {
		group.Go(func() error {
			g.learnPartsOf(ctx, e)
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	return len(entries) <= maxEnginesAsked
}

// askPeersForParts takes what some peers believe to be cached.
func (g *Gateway) askPeersForParts(ctx context.Context) {
	for _, address := range g.somePeers(peersAsked) {
		ctx, cancel := context.WithTimeout(ctx, askPartsTimeout)
		answer, err := peerClient(address).CachedParts(ctx, &wire.CachedPartsRequest{})
		cancel()
		if err != nil {
			g.log.Warn().Str("peer", address).Err(err).Msg("cached parts of a peer not known")
			continue
		}
		g.dispatcher.peerParts(answer.Placements)
		g.log.Info().Str("peer", address).Int("parts", len(answer.Placements)).Msg("cached parts taken from a peer")
	}
}

// CachedParts implements wire.Peer.
func (p peerServer) CachedParts(context.Context, *wire.CachedPartsRequest) (*wire.CachedPartsResponse, error) {
	return &wire.CachedPartsResponse{Placements: p.gateway.dispatcher.statedParts()}, nil
}

func (d *dispatcher) statedParts() []*wire.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var placements []*wire.Placement
	d.fleet.CachedParts(func(endpoint uint64, p placement.Part) {
		if len(placements) < maxPartsStated {
			placements = append(placements, &wire.Placement{Endpoint: endpoint, Part: p.ID, Tokens: uint32(p.Tokens)})
		}
	})
	return placements
}

func (d *dispatcher) peerParts(placements []*wire.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, p := range placements {
		d.fleet.PeerPlacement(now, p.Endpoint, placement.Part{ID: p.Part, Tokens: int(p.Tokens)})
	}
}

func (g *Gateway) isEngine(e registry.Entry) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	s := table.Service(e.Service)
	return s != nil && s.Engine != nil
}

func (g *Gateway) learnPartsOf(ctx context.Context, e registry.Entry) {
	ctx, cancel := context.WithTimeout(ctx, askPartsTimeout)
	defer cancel()
	parts, said, err := g.o.Parts.List(ctx, e.Address)
	g.logChanges(g.dispatcher.noticed(e.Incarnation(), e.Address, said))
	if err != nil {
		g.log.Warn().Str("endpoint", e.ID).Err(err).Msg("cached parts not known")
		return
	}
	g.dispatcher.cachedParts(e.ID, parts)
	g.log.Info().Str("endpoint", e.ID).Int("parts", len(parts)).Msg("cached parts known")
}

func (d *dispatcher) cachedParts(id string, parts []placement.Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, p := range parts {
		d.fleet.PeerPlacement(now, placement.Hash(id), p)
	}
}
