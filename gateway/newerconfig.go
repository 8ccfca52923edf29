package gateway

import (
	"context"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
)

const (
	// fetchConfigDelay is how long a peer's configuration must have been newer before it
	// is fetched: normally the store shows a change to all gateways within milliseconds.
	fetchConfigDelay = 500 * time.Millisecond
	// fetchConfigStartupPeriod is the time after the start in which a newer configuration
	// is fetched without that delay: the store may have been restored from an older copy.
	fetchConfigStartupPeriod = 5 * time.Second
)

// newerConfigPeer is a peer with a newer configuration than the one in force here.
type newerConfigPeer struct {
	address string
	version int64
	// since is when a newer configuration was first stated by any peer.
	since time.Time
}

// addStoreState adds the store's era, the latest change of the directory and the
// configuration version in force to a statement.
func (g *Gateway) addStoreState(now time.Time, s *wire.Statement) {
	s.StoreEra = g.storeStatus.Era()
	s.DirectoryAnswered = encodeAge(now, g.directoryUptime.LastAnswer())
	if g.directory != nil {
		s.DirectoryEra, s.DirectoryVersion = g.directory.LatestChange()
	}
	if table := g.table.Load(); table != nil {
		s.ConfigVersion = table.Version
	}
}

// receiveStoreState handles the store's era, the latest change of the directory and the
// configuration version in a peer's statement.
func (g *Gateway) receiveStoreState(now time.Time, s *wire.Statement) {
	g.storeStatus.HintEra(now, s.StoreEra)
	g.directoryUptime.Answered(decodeAge(now, s.DirectoryAnswered))
	if g.directory != nil {
		g.directory.HintChange(now, s.DirectoryEra, s.DirectoryVersion)
	}
	table := g.table.Load()
	if table == nil || s.ConfigVersion <= table.Version {
		return
	}
	if known := g.newerPeer.Load(); known == nil || known.version < s.ConfigVersion {
		since := now
		if known != nil {
			since = known.since
		}
		g.newerPeer.Store(&newerConfigPeer{address: s.Sender, version: s.ConfigVersion, since: since})
	}
}

// fetchNewerConfig starts fetching the configuration of a peer that has a newer one, if
// any, and does not wait for it. A peer is ahead if this gateway is cut off from the
// store or started while the store showed an older copy.
func (g *Gateway) fetchNewerConfig(ctx context.Context) {
	newer, table, now := g.newerPeer.Load(), g.table.Load(), time.Now()
	if newer == nil || table == nil {
		return
	}
	if newer.version <= table.Version {
		g.newerPeer.CompareAndSwap(newer, nil)
		return
	}
	if now.Sub(newer.since) < fetchConfigDelay && now.Sub(g.startedAt) > fetchConfigStartupPeriod {
		return
	}
	g.newerPeer.CompareAndSwap(newer, nil)
	if !g.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.fetchingConfig.Store(false)
		g.fetchConfig(ctx, newer)
	}()
}

// fetchConfig fetches and adopts the configuration of a peer, but not its endpoints.
func (g *Gateway) fetchConfig(ctx context.Context, peer *newerConfigPeer) {
	state := g.askPeer(ctx, peer.address)
	if state == nil {
		return
	}
	// Another peer may have a more recent list of endpoints.
	state.Listed = false
	if err := g.adoptState(state); err != nil {
		g.log.Warn().Str("peer", peer.address).Err(err).Msg("configuration of a peer could not be decoded")
		return
	}
	g.log.Info().Str("peer", peer.address).Int64("version", state.ConfigVersion).Msg("configuration taken from a peer that is ahead")
}
