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
	// askPartsTimeout bounds a request for cached parts to one engine or peer.
	askPartsTimeout = 300 * time.Millisecond
	// askPartsConcurrency is the number of engines asked concurrently.
	askPartsConcurrency = 4
	// readyPollInterval is how often a starting gateway checks whether it is ready, and
	// so knows the endpoints.
	readyPollInterval = 5 * time.Millisecond
	// maxEnginesAsked bounds the engines that a gateway asks, as listing delays an
	// engine's work and all gateways may start at once. The lists of the other engines
	// come from peers.
	maxEnginesAsked = 16
	// peersAsked is the number of peers asked for cached parts, and
	// askPeersForPartsAfter the delay before that: by then all peers that started at
	// the same time have the lists of the engines that they ask.
	peersAsked            = 3
	askPeersForPartsAfter = 400 * time.Millisecond
	// maxPartsSent bounds the parts in a response to a peer; each takes 20 bytes.
	maxPartsSent = 100_000
)

// PartLister lists the prompt parts that the engine at IP:PORT has cached. The Notice
// is what the engine stated about itself in the same response.
type PartLister interface {
	List(ctx context.Context, address string) ([]placement.Part, relay.Notice, error)
}

// loadCachedParts asks engines once, and then peers if there are too many engines, which
// prompt parts are cached. A gateway that starts while the engines run would otherwise
// expect them to prefill all parts again.
func (g *Gateway) loadCachedParts(ctx context.Context, rng *rand.Rand) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !g.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	if all := g.askEngines(ctx, rng); !all && sleep(ctx, askPeersForPartsAfter) {
		g.askPeersForParts(ctx)
	}
	<-ctx.Done()
	return ctx.Err()
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// askEngines asks up to maxEnginesAsked random engines and reports whether these are
// all.
func (g *Gateway) askEngines(ctx context.Context, rng *rand.Rand) bool {
	entries, _ := g.dispatcher.entries()
	entries = slices.DeleteFunc(entries, func(e registry.Entry) bool { return e.Draining || !g.isEngine(e) })
	rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	group := errgroup.Group{}
	group.SetLimit(askPartsConcurrency)
	for _, e := range entries[:min(len(entries), maxEnginesAsked)] {
		group.Go(func() error {
			g.loadPartsOf(ctx, e)
			return nil
		})
	}
	// The functions return no error.
	_ = group.Wait()
	return len(entries) <= maxEnginesAsked
}

// askPeersForParts adds the parts that some random peers believe to be cached.
func (g *Gateway) askPeersForParts(ctx context.Context) {
	for _, address := range g.samplePeers(peersAsked) {
		ctx, cancel := context.WithTimeout(ctx, askPartsTimeout)
		response, err := peerClient(address).CachedParts(ctx, &wire.CachedPartsRequest{})
		cancel()
		if err != nil {
			g.log.Warn().Str("peer", address).Err(err).Msg("could not fetch the cached parts of a peer")
			continue
		}
		g.dispatcher.addPeerParts(response.Placements)
		g.log.Info().Str("peer", address).Int("parts", len(response.Placements)).Msg("cached parts taken from a peer")
	}
}

// CachedParts implements wire.Peer.
func (p peerServer) CachedParts(context.Context, *wire.CachedPartsRequest) (*wire.CachedPartsResponse, error) {
	return &wire.CachedPartsResponse{Placements: p.gateway.dispatcher.partsToSend()}, nil
}

// partsToSend returns the parts believed to be cached, at most maxPartsSent.
func (d *dispatcher) partsToSend() []*wire.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	var placements []*wire.Placement
	d.fleet.CachedParts(func(process uint64, p placement.Part) {
		if len(placements) < maxPartsSent {
			placements = append(placements, &wire.Placement{Endpoint: process, Part: p.ID, Tokens: uint32(p.Tokens)})
		}
	})
	return placements
}

// addPeerParts adds parts that a peer believes to be cached.
func (d *dispatcher) addPeerParts(placements []*wire.Placement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, p := range placements {
		d.fleet.PeerPlacement(now, p.Endpoint, placement.Part{ID: p.Part, Tokens: int(p.Tokens)})
	}
}

// isEngine reports whether the configuration describes the entry's service as one of
// engines.
func (g *Gateway) isEngine(e registry.Entry) bool {
	table := g.table.Load()
	if table == nil {
		return false
	}
	s := table.Service(e.Service)
	return s != nil && s.Engine != nil
}

// loadPartsOf asks one engine for its cached parts and handles the notice in its response.
func (g *Gateway) loadPartsOf(ctx context.Context, e registry.Entry) {
	if !g.dispatcher.allowListing(e.ID) {
		g.log.Info().Str("endpoint", e.ID).Msg("limited engine is not asked for its cached parts")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askPartsTimeout)
	defer cancel()
	sentAt := time.Now()
	parts, notice, err := g.options.PartLister.List(ctx, e.Address)
	g.logEndpointChanges(g.dispatcher.applyNotice(e.Incarnation(), e.Address, sentAt, notice))
	if err != nil {
		g.log.Warn().Str("endpoint", e.ID).Err(err).Msg("could not list the cached parts of an engine")
		return
	}
	g.dispatcher.addEngineParts(e.Incarnation(), parts)
	g.log.Info().Str("endpoint", e.ID).Int("parts", len(parts)).Msg("cached parts known")
}

// addEngineParts adds parts that a process of an engine has listed.
func (d *dispatcher) addEngineParts(i registry.Incarnation, parts []placement.Part) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, p := range parts {
		d.fleet.PeerPlacement(now, processHash(i), p)
	}
}
