package gateway

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/upstream"
)

const (
	// maxSilentProcesses bounds the processes that are not asked for a while, and
	// maxStatementServices the services whose statements are remembered.
	maxSilentProcesses   = 4096
	maxStatementServices = 1024
	// minSilentEndpoints is the number of endpoints without a statement from which a service
	// counts as one that states none; all of them if it has fewer.
	minSilentEndpoints = 3
	// statesFor is how long a statement of one endpoint shows that its service states
	// processes.
	statesFor = time.Minute
	// silentPause is how long a process of a service without statements is not asked again.
	silentPause = 10 * time.Second
	// firstQuestionTimeout bounds the question at a service of which no endpoint has stated its
	// process. One that does answers in a few round trips; others may take the question for a
	// request, which must not cost the caller much of its time.
	firstQuestionTimeout = 60 * time.Millisecond
	// unlistedPause is how long an unlisted endpoint gets no stream that may be resumed. The next
	// one asks it again: what it stated last may have been said by another process.
	unlistedPause = 3 * time.Second
)

// serviceStatements is what is known of the statements of a service's endpoints.
type serviceStatements struct {
	// statedAt is when an endpoint last stated its process.
	statedAt time.Time
	// without are the endpoints that did not since then, at most minSilentEndpoints.
	without map[string]struct{}
}

// processStatements tells which services have endpoints that state the start of their process.
// Of others, a gateway can only take the version of the directory's entry for that of the
// process. A single endpoint without a statement may have just started, or fail.
type processStatements struct {
	services map[string]*serviceStatements
	// silent holds when the processes of services without statements were asked.
	silent *simplelru.LRU[registry.Incarnation, time.Time]
}

func newProcessStatements() processStatements {
	// NewLRU fails only if the size is not positive.
	silent, _ := simplelru.NewLRU[registry.Incarnation, time.Time](maxSilentProcesses, nil)
	return processStatements{services: make(map[string]*serviceStatements), silent: silent}
}

// service returns what is known of a service; nil at maxStatementServices.
func (s processStatements) service(name string) *serviceStatements {
	known := s.services[name]
	if known == nil && len(s.services) < maxStatementServices {
		known = &serviceStatements{}
		s.services[name] = known
	}
	return known
}

// states reports whether the endpoints of a service state their process.
func (s *serviceStatements) states(now time.Time) bool {
	return !s.statedAt.IsZero() && now.Sub(s.statedAt) < statesFor
}

// asks reports whether a process of a service is to be asked. An entry without a start can't be
// compared with an answer.
func (s processStatements) asks(now time.Time, service string, i registry.Incarnation) bool {
	if i.Born == 0 {
		return false
	}
	if known := s.services[service]; known != nil && known.states(now) {
		return true
	}
	askedAt, ok := s.silent.Peek(i)
	return !ok || now.Sub(askedAt) >= silentPause
}

// recordStated records that an endpoint of a service stated its process.
func (s processStatements) recordStated(now time.Time, service string) {
	if known := s.service(service); known != nil {
		known.statedAt, known.without = now, nil
	}
}

// recordSilent records that an endpoint did not state its process and reports whether that is
// so of its service, which has a number of endpoints.
func (s processStatements) recordSilent(now time.Time, service string, endpoints int, i registry.Incarnation) bool {
	known := s.service(service)
	if known == nil || known.states(now) {
		return false
	}
	if known.without == nil {
		known.without = make(map[string]struct{}, minSilentEndpoints)
	}
	enough := min(minSilentEndpoints, endpoints)
	if len(known.without) < enough {
		known.without[i.ID] = struct{}{}
	}
	if len(known.without) < enough {
		return false
	}
	s.silent.Add(i, now)
	return true
}

// timeout returns how long a question at a service may take; zero means as long as usual.
func (s processStatements) timeout(now time.Time, service string) time.Duration {
	if known := s.services[service]; known != nil && known.states(now) {
		return 0
	}
	return firstQuestionTimeout
}

// AsksProcess implements relay.PlacedAttempt.
func (a *placedAttempt) AsksProcess() (timeout time.Duration, asks bool) {
	d := a.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	service := a.choice.Endpoint.Service
	return d.processes.timeout(now, service), d.processes.asks(now, service, a.incarnation)
}

// AcceptProcess implements relay.PlacedAttempt. The process of an endpoint that does not state
// its start is taken for the one that the directory shows only if its service states none.
func (a *placedAttempt) AcceptProcess(p upstream.Process) bool {
	accepted, changes := a.dispatcher.acceptProcess(a, p)
	a.dispatcher.onEndpointChanges(changes)
	return accepted
}

func (d *dispatcher) acceptProcess(a *placedAttempt, p upstream.Process) (bool, []registry.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	service := a.choice.Endpoint.Service
	if p.Asked {
		d.limits.Take(now, placement.Hash(a.choice.Endpoint.ID))
		d.onProcess(p.State)
	}
	switch p.State {
	case upstream.ProcessStated:
		d.processes.recordStated(now, service)
		return d.acceptStated(now, a, p)
	case upstream.ProcessSilent, upstream.ProcessNoAnswer:
		endpoints := 0
		d.fleet.EachOf(service, func(uint64) { endpoints++ })
		return d.processes.recordSilent(now, service, endpoints, a.incarnation), nil
	}
	return false, nil
}

// acceptStated reports whether the process is of the version at which the attempt was placed.
// An answer on a kept connection says nothing of the process that has the address now, nor does
// one of an address at which the directory does not show the endpoint any more. The mutex is held.
func (d *dispatcher) acceptStated(now time.Time, a *placedAttempt, p upstream.Process) (bool, []registry.Change) {
	id := a.choice.Endpoint.ID
	e, known := d.registry.Entry(id)
	if !known {
		return false, nil
	}
	var changes []registry.Change
	if p.Asked && e.Incarnation() == a.incarnation && e.Address == a.choice.Endpoint.Address {
		if c, changed := d.registry.Observe(now, id, p.Born); changed {
			changes = []registry.Change{c}
			d.applyChanges(now, changes)
			e = c.Entry
		}
	}
	if e.Unlisted {
		d.putEndpoint(now, e)
		d.drainEndpoint(e)
	}
	a.incarnation = registry.Incarnation{ID: id, Born: p.Born}
	accepted := e.Born == p.Born && !e.Unlisted && e.Version == a.choice.Endpoint.Version
	if accepted {
		// The request goes to the listed process, whatever the gateway saw end.
		a.refusals = 0
	}
	return accepted, changes
}

// askUnlisted lets unlisted endpoints that were not asked lately get streams that may be
// resumed, which ask them. The mutex is held.
func (d *dispatcher) askUnlisted(now time.Time) {
	d.registry.Unlisted(now.Add(-unlistedPause), func(e registry.Entry) { d.fleet.AllowVersion(e.ID) })
}
