package gateway

import (
	"slices"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/routing"
	"github.com/pistachiowind/pistachiowind/gateway/versions"
)

const (
	// maxEarlierTables bounds the configurations that were replaced lately; the oldest are
	// forgotten.
	maxEarlierTables = 8
	// configSpread is how long after a change of the configuration other gateways may still
	// begin streams by the one before.
	configSpread = 2 * time.Second
)

// earlierTable is a configuration that was replaced.
type earlierTable struct {
	table      *routing.Table
	replacedAt time.Time
}

// replaceTable puts a configuration in force. The mutex is held.
func (d *dispatcher) replaceTable(now time.Time, t *routing.Table) {
	if d.table != nil && d.table != t {
		d.earlierTables = append(d.earlierTables, earlierTable{d.table, now})
		d.earlierTables = d.earlierTables[max(len(d.earlierTables)-maxEarlierTables, 0):]
	}
	d.table = t
}

// keptService returns the service at which a stream began, also if the split of its route has
// changed since. It returns false if the route has that service no longer, or if only the name
// of the stream is known and the splits under which it can have begun give several services.
// The mutex is held.
func (d *dispatcher) keptService(now time.Time, r *routing.Route, o versions.Origin) (string, bool) {
	if o.Service != 0 {
		i := slices.IndexFunc(r.Split, func(s routing.Share) bool { return versions.ServiceID(s.Service) == o.Service })
		if i < 0 {
			return "", false
		}
		return r.Split[i].Service, true
	}
	service := d.serviceOf(r, o.Root)
	if o.Root == 0 {
		return service, true
	}
	for _, e := range d.earlierTables {
		if now.Sub(e.replacedAt) > d.versions.LongestAge()+configSpread {
			continue
		}
		if before := e.table.Route(r.Host, r.Prefix); before != nil && before.Resumable && d.serviceOf(before, o.Root) != service {
			return "", false
		}
	}
	return service, true
}
