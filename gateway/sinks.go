package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/proof"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// ConfigSeen handles a configuration read from the store.
func (g *Gateway) ConfigSeen(c routing.Config) {
	for shown := g.storeVersion.Load(); c.Version > shown && !g.storeVersion.CompareAndSwap(shown, c.Version); shown = g.storeVersion.Load() {
	}
	g.adopt(c)
}

// adopt puts a configuration in force if none is, or if it supersedes the current one.
func (g *Gateway) adopt(c routing.Config) {
	g.adoptMu.Lock()
	defer g.adoptMu.Unlock()
	old := g.table.Load()
	if old != nil && !c.Supersedes(&old.Config) {
		if c.Version < old.Version {
			g.log.Warn().Int64("version", c.Version).Int64("in_force", old.Version).Uint64("era", c.Era).
				Msg("configuration of the store is older than the one in force, which stays")
		}
		return
	}
	table := routing.Compile(c)
	g.dispatcher.adopt(table)
	g.table.Store(table)
	event := g.log.Info().Int64("version", c.Version).Uint64("era", c.Era).Int("routes", len(c.Routes)).Int("accounts", len(c.Accounts))
	if old != nil {
		event = event.Int64("previous", old.Version)
	}
	event.Msg("configuration adopted")
}

// EndpointsListed replaces all registry entries by a whole listing of the directory.
func (g *Gateway) EndpointsListed(entries []registry.Entry) {
	g.logEndpointChanges(g.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
		g.dispatcher.listProofs(now, entries)
		g.dispatcher.endpointsListed = true
		return r.Replace(now, entries)
	}))
}

// EndpointsRestored applies a whole listing of a store that was restored from an older
// copy, which may lack entries or show earlier states of endpoints.
func (g *Gateway) EndpointsRestored(entries []registry.Entry) {
	g.dispatcher.rowsRestored()
	g.log.Warn().Uint64("era", g.storeStatus.Era()).Int("entries", len(entries)).
		Msg("store came back from an older copy; known entries that it lacks are kept until the grace for writing them again ends")
	g.logEndpointChanges(g.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
		g.dispatcher.proofs.Restored(now)
		g.dispatcher.proofs.Listed(now, proofEntries(entries))
		return r.Restore(now, entries)
	}))
}

// EndpointPut adds or replaces a registry entry.
func (g *Gateway) EndpointPut(e registry.Entry, b proof.Heartbeat) {
	g.logEndpointChanges(g.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
		g.dispatcher.observeHeld(now, e.ID)
		g.dispatcher.proofs.Changed(now, proofEntry(e), b)
		if old, known := r.Entry(e.ID); !known || proofEntry(old) != proofEntry(e) {
			g.dispatcher.proofs.Joined(now, proofEntry(e))
		}
		if c, ok := r.Put(e); ok {
			return []registry.Change{c}
		}
		return nil
	}))
}

// EndpointRemoved handles the removal of an entry from the directory.
func (g *Gateway) EndpointRemoved(id string) {
	g.logEndpointChanges(g.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
		g.dispatcher.proofs.Removed(id)
		if c, ok := r.Remove(now, id); ok {
			return []registry.Change{c}
		}
		return nil
	}))
}

// StoreLost records and logs that a table of the store does not answer.
func (g *Gateway) StoreLost(table string, cause error) {
	g.dispatcher.updateRegistry(func(_ time.Time, r *registry.Registry) []registry.Change {
		r.DirectoryLost()
		g.dispatcher.proofs.DirectoryLost()
		return nil
	})
	g.tableUp.Store(table, false)
	now := time.Now()
	g.storeLostAt.CompareAndSwap(nil, &now)
	g.log.Warn().Str("table", table).Err(cause).Msg("store lost")
}

// StoreRegained records and logs that a table of the store answers again, or for the
// first time.
func (g *Gateway) StoreRegained(table string) {
	g.dispatcher.updateRegistry(func(now time.Time, r *registry.Registry) []registry.Change {
		r.DirectoryRecovered(now, g.directoryUptime.Since(now))
		g.dispatcher.proofs.DirectoryRecovered(now)
		return nil
	})
	g.tableUp.Store(table, true)
	g.storeLostAt.Store(nil)
	g.storeReached.Store(true)
	g.log.Info().Str("table", table).Msg("store reached")
}
