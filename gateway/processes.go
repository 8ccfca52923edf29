package gateway

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

// maxSilentProcesses bounds the processes that are remembered as not stating their start. One
// that is forgotten is asked again.
const maxSilentProcesses = 4096

// processStatements tells which endpoints state the start of their process. Without that, a
// gateway can only take the version of the directory's entry for that of the process.
type processStatements struct {
	// services are those of which an endpoint stated its start.
	services map[string]bool
	// silent are the incarnations that answered without stating it.
	silent *simplelru.LRU[registry.Incarnation, struct{}]
}

func newProcessStatements() processStatements {
	// NewLRU fails only if the size is not positive.
	silent, _ := simplelru.NewLRU[registry.Incarnation, struct{}](maxSilentProcesses, nil)
	return processStatements{services: make(map[string]bool), silent: silent}
}

// asks reports whether an incarnation is to be asked. An entry without a start can't be
// compared with an answer.
func (s processStatements) asks(i registry.Incarnation) bool {
	return i.Born != 0 && !s.silent.Contains(i)
}

// AsksProcess implements relay.PlacedAttempt.
func (a *placedAttempt) AsksProcess() bool {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes.asks(a.incarnation)
}

// AcceptProcess implements relay.PlacedAttempt. The process of an endpoint that does not state
// its start is taken for the one that the directory shows, and so is that of one without an
// answer as long as no other endpoint of its service states its start.
func (a *placedAttempt) AcceptProcess(p upstream.Process) bool {
	accepted, changes := a.dispatcher.acceptProcess(a, p)
	a.dispatcher.onEndpointChanges(changes)
	return accepted
}

func (d *dispatcher) acceptProcess(a *placedAttempt, p upstream.Process) (bool, []registry.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if p.Asked {
		d.limits.Take(now, placement.Hash(a.choice.Endpoint.ID))
		d.onProcess(p.State)
	}
	switch p.State {
	case upstream.ProcessStated:
		d.processes.services[a.choice.Endpoint.Service] = true
		return d.acceptStated(now, a, p)
	case upstream.ProcessSilent:
	case upstream.ProcessNoAnswer:
		if d.processes.services[a.choice.Endpoint.Service] {
			return false, nil
		}
	default:
		return false, nil
	}
	d.processes.silent.Add(a.incarnation, struct{}{})
	return true, nil
}

// acceptStated reports whether the process is of the version at which the attempt was placed.
// An answer to an earlier request says nothing of the process that has the address now. The
// mutex is held.
func (d *dispatcher) acceptStated(now time.Time, a *placedAttempt, p upstream.Process) (bool, []registry.Change) {
	id := a.choice.Endpoint.ID
	var changes []registry.Change
	if p.Asked {
		if c, changed := d.registry.Observe(id, p.Born); changed {
			changes = []registry.Change{c}
			d.applyChanges(now, changes)
		}
		a.incarnation = registry.Incarnation{ID: id, Born: p.Born}
	}
	e, known := d.registry.Entry(id)
	accepted := known && e.Born == p.Born && !e.Unlisted && e.Version == a.choice.Endpoint.Version
	if accepted {
		// The request goes to the listed process, whatever the gateway saw end.
		a.refusals = 0
	}
	return accepted, changes
}
