package gateway

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

const (
	// aheadFor is how long a peer's configuration must be newer before it is fetched:
	// the store shows a change to all gateways within milliseconds.
	aheadFor = 500 * time.Millisecond
	// startTimeAhead is the time after the start in which it is fetched at once: the
	// store may have come back from an older copy.
	startTimeAhead = 5 * time.Second
)

// peerAhead is a peer whose configuration is newer than the own one.
type peerAhead struct {
	address string
	version int64
	since   time.Time
}

// stateStore tells what this gateway knows of the store.
func (g *Gateway) stateStore(s *wire.Statement) {
	s.StoreEra = g.outage.Era()
	if table := g.table.Load(); table != nil {
		s.ConfigVersion = table.Version
	}
}

// heardOfStore takes what a peer knows of the store.
func (g *Gateway) heardOfStore(now time.Time, s *wire.Statement) {
	g.outage.HintEra(now, s.StoreEra)
	table := g.table.Load()
	if table == nil || s.ConfigVersion <= table.Version {
		return
	}
	if known := g.ahead.Load(); known == nil || known.version < s.ConfigVersion {
		since := now
		if known != nil {
			since = known.since
		}
		g.ahead.Store(&peerAhead{address: s.Sender, version: s.ConfigVersion, since: since})
	}
}

// catchUp fetches, beside its caller, the configuration of a peer that is ahead: this gateway is cut off
// from the store, or began with an older copy of it.
func (g *Gateway) catchUp(ctx context.Context) {
	ahead, table, now := g.ahead.Load(), g.table.Load(), time.Now()
	if ahead == nil || table == nil {
		return
	}
	if ahead.version <= table.Version {
		g.ahead.CompareAndSwap(ahead, nil)
		return
	}
	if now.Sub(ahead.since) < aheadFor && now.Sub(g.startedAt) > startTimeAhead {
		return
	}
	g.ahead.CompareAndSwap(ahead, nil)
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetching.Store(false)
		g.fetchConfig(ctx, ahead)
	}()
}

// fetchConfig takes the configuration of a peer, but not its endpoints.
func (g *Gateway) fetchConfig(ctx context.Context, ahead *peerAhead) {
	state := g.askPeer(ctx, ahead.address)
	if state == nil {
		return
	}
	// Another peer may know the endpoints better.
	state.Listed = false
	if err := g.adoptState(state); err != nil {
		g.log.Warn().Str("peer", ahead.address).Err(err).Msg("configuration of a peer not usable")
		return
	}
	g.log.Info().Str("peer", ahead.address).Int64("version", state.ConfigVersion).Msg("configuration taken from a peer that is ahead")
}
