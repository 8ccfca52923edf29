package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

// ConfigSeen takes a configuration that the store shows.
func (g *Gateway) ConfigSeen(c routing.Config) {
	for shown := g.shown.Load(); c.Version > shown && !g.shown.CompareAndSwap(shown, c.Version); shown = g.shown.Load() {
	}
	g.adopt(c)
}

// adopt puts a configuration in force if it supersedes the present one.
func (g *Gateway) adopt(c routing.Config) {
	g.adopting.Lock()
	defer g.adopting.Unlock()
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

// EndpointsListed replaces all entries.
func (g *Gateway) EndpointsListed(entries []registry.Entry) {
	g.logChanges(g.dispatcher.update(func(now time.Time, r *registry.Registry) []registry.Change {
		g.dispatcher.listed = true
		return r.Replace(now, entries)
	}))
}

// EndpointsRestored takes all entries of a store that came back from an older copy.
func (g *Gateway) EndpointsRestored(entries []registry.Entry) {
	g.log.Warn().Uint64("era", g.outage.Era()).Int("entries", len(entries)).
		Msg("store came back from an older copy; what is known and not written again yet stays in force")
	g.logChanges(g.dispatcher.update(func(now time.Time, r *registry.Registry) []registry.Change {
		return r.Restore(now, entries)
	}))
}

// EndpointPut adds or replaces an entry.
func (g *Gateway) EndpointPut(e registry.Entry) {
	g.logChanges(g.dispatcher.update(func(_ time.Time, r *registry.Registry) []registry.Change {
		if c, ok := r.Put(e); ok {
			return []registry.Change{c}
		}
		return nil
	}))
}

// EndpointRemoved handles an entry that is no longer there.
func (g *Gateway) EndpointRemoved(id string) {
	g.logChanges(g.dispatcher.update(func(now time.Time, r *registry.Registry) []registry.Change {
		if c, ok := r.Remove(now, id); ok {
			return []registry.Change{c}
		}
		return nil
	}))
}

// StoreLost notes that a table does not answer.
func (g *Gateway) StoreLost(table string, cause error) {
	g.dispatcher.update(func(_ time.Time, r *registry.Registry) []registry.Change {
		r.DirectoryLost()
		return nil
	})
	g.stores.Store(table, false)
	now := time.Now()
	g.lostAt.CompareAndSwap(nil, &now)
	g.log.Warn().Str("table", table).Err(cause).Msg("store lost")
}

// StoreRegained notes that a table answers again.
func (g *Gateway) StoreRegained(table string) {
	g.dispatcher.update(func(now time.Time, r *registry.Registry) []registry.Change {
		r.DirectoryRecovered(now)
		return nil
	})
	g.stores.Store(table, true)
	g.lostAt.Store(nil)
	g.reached.Store(true)
	g.log.Info().Str("table", table).Msg("store reached")
}
