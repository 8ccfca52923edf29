package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/ratelimit"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

// The users' rule on limits: from limitNotice after an endpoint first named its limit, it
// gets in no limitWindow more than limitFactor times what that allows, and limitExtra
// requests, summed over the gateways that were told toldBefore earlier. The rule excuses
// gateways that restart, freeze or are cut off; here they count like the others.
const (
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	toldBefore  = 500 * time.Millisecond
)

// limitServiceTime is the time that an endpoint takes for a request.
const limitServiceTime = 50 * time.Millisecond

// limitedEndpoint is an endpoint whose limit depends on the time.
type limitedEndpoint struct {
	id string
	// limit returns the requests a second that the endpoint accepts; false for no limit.
	limit func(at time.Duration) (float64, bool)
	// fails is the share of requests that the endpoint rejects.
	fails    float64
	arrivals []limitArrival
}

type limitArrival struct {
	at time.Duration
	// counted is true if the gateway had been told of a limit.
	counted bool
}

// limitGateway is a gateway whose callers ask for requests at a rate.
type limitGateway struct {
	*simGateway
	site *limitSite
	// demand is the number of requests a second.
	demand func(at time.Duration) float64
	// toldAt is when each endpoint last named a limit in a response to this gateway.
	toldAt          map[string]time.Duration
	served, refused int
}

// limitSite is a simulated site whose endpoints name limits.
type limitSite struct {
	*simSite
	endpoints []*limitedEndpoint
	entries   []registry.Entry
	gateways  []*limitGateway
}

// listRestarts lists a later process for each endpoint, at the same address. The gateways read
// the directory at once.
func (s *limitSite) listRestarts() {
	for i := range s.entries {
		s.entries[i].Born++
	}
	for _, g := range s.gateways {
		if !g.down {
			g.readDirectory()
		}
	}
}

func newLimitSite(seed uint64, endpoints ...*limitedEndpoint) *limitSite {
	s := &limitSite{endpoints: endpoints}
	for _, e := range endpoints {
		s.entries = append(s.entries, registry.Entry{ID: e.id, Service: "s", Address: e.id, Zone: "z", Slots: 64, Born: 1})
	}
	s.simSite = newSimSite(seed, func() []registry.Entry { return s.entries })
	s.serve = func(g *simGateway) {
		i := slices.IndexFunc(s.gateways, func(l *limitGateway) bool { return l.simGateway == g })
		s.gateways[i].serve()
	}
	return s
}

// add adds a gateway with the given demand.
func (s *limitSite) add(demand func(at time.Duration) float64) *limitGateway {
	g := &limitGateway{site: s, demand: demand}
	s.gateways = append(s.gateways, g)
	g.simGateway = s.join(func() { g.toldAt = make(map[string]time.Duration) })
	return g
}

// serve sends the requests of one step.
func (g *limitGateway) serve() {
	for range poisson(g.site.rng, g.demand(g.site.now())*simStep.Seconds()) {
		g.request()
	}
}

// request sends one request, and once more elsewhere if an endpoint rejects it.
func (g *limitGateway) request() {
	work := &placement.Work{Service: "s", Target: time.Second}
	g.attempt(work, false)
}

func (g *limitGateway) attempt(work *placement.Work, isRetry bool) {
	attempt, refusal := g.gateway.dispatcher.Admit(work, relay.AdmissionRequest{Route: "r", TimeLeft: 10 * time.Second, IsRetry: isRetry})
	if refusal != nil {
		g.refused++
		return
	}
	id := attempt.Choice().Endpoint.ID
	e := g.site.endpoints[slices.IndexFunc(g.site.endpoints, func(e *limitedEndpoint) bool { return e.id == id })]
	g.site.after(simDelay, func() { g.arrive(e, work, attempt, isRetry) })
}

// arrive handles a request at its endpoint and schedules the response.
func (g *limitGateway) arrive(e *limitedEndpoint, work *placement.Work, attempt relay.PlacedAttempt, isRetry bool) {
	now := g.site.now()
	told, known := g.toldAt[e.id]
	e.arrivals = append(e.arrivals, limitArrival{now, known && told+toldBefore <= now})
	rejected := !isRetry && g.site.rng.Float64() < e.fails
	took := limitServiceTime
	if rejected {
		took = 0
	}
	process := g.gateway
	g.site.after(took, func() {
		notice := relay.Notice{ToThisRequest: true}
		if perSecond, limited := e.limit(g.site.now()); limited {
			notice.Limit = ratelimit.Report{State: ratelimit.Limited, PerSecond: perSecond}
		}
		g.site.after(simDelay, func() {
			if g.gateway != process || g.down {
				return
			}
			g.respond(e, work, attempt, notice, rejected)
		})
	})
}

// respond handles a response at the gateway.
func (g *limitGateway) respond(e *limitedEndpoint, work *placement.Work, attempt relay.PlacedAttempt, n relay.Notice, rejected bool) {
	if _, known := g.toldAt[e.id]; n.Limit.State == ratelimit.Limited && !known {
		g.toldAt[e.id] = g.site.now()
	}
	attempt.HandleNotice(n)
	if rejected {
		attempt.Ended(relay.ResultRejected)
		work.Excluded = append(work.Excluded, e.id)
		g.attempt(work, true)
		return
	}
	attempt.Started()
	attempt.Ended(relay.ResultComplete)
	g.served++
}

// allowedAt returns the limit that counts at a time, the highest of the last limitNotice; false
// if the endpoint named none in some of that time.
func (e *limitedEndpoint) allowedAt(at time.Duration) (float64, bool) {
	highest := 0.0
	for t := max(at-limitNotice, 0); t <= at; t += 10 * simStep {
		perSecond, limited := e.limit(t)
		if !limited {
			return 0, false
		}
		highest = max(highest, perSecond)
	}
	return highest, true
}

// check reports the windows in which an endpoint got more requests than it allows.
func (s *limitSite) check(t *testing.T) {
	t.Helper()
	for _, e := range s.endpoints {
		if worst, got, allowed := e.worstWindow(); got > allowed {
			t.Errorf("%s got %.0f requests in %s from %s; allowed %.1f", e.id, got, limitWindow, worst, allowed)
		}
	}
}

// worstWindow returns the window with the most requests relative to what is allowed.
func (e *limitedEndpoint) worstWindow() (begin time.Duration, got, allowed float64) {
	allowed = 1
	for i, first := range e.arrivals {
		limit, known := e.allowedAt(first.at + limitWindow)
		if _, before := e.allowedAt(first.at); !known || !before || !first.counted {
			continue
		}
		for at := first.at; at < first.at+limitWindow; at += limitNotice {
			if higher, ok := e.allowedAt(at); ok {
				limit = max(limit, higher)
			}
		}
		n := 0.0
		for _, a := range e.arrivals[i:] {
			if a.at >= first.at+limitWindow {
				break
			}
			if a.counted {
				n++
			}
		}
		if sum := limitFactor*limit*limitWindow.Seconds() + limitExtra; n/sum > got/allowed {
			begin, got, allowed = first.at, n, sum
		}
	}
	return begin, got, allowed
}

// used returns the share of the allowance that an endpoint got between two times.
func (e *limitedEndpoint) used(from, to time.Duration) float64 {
	n, allowed := 0.0, 0.0
	for _, a := range e.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	for t := from; t < to; t += simStep {
		perSecond, _ := e.limit(t)
		allowed += perSecond * simStep.Seconds()
	}
	return n / allowed
}

// limitedFrom returns a limit that is named from a time on.
func limitedFrom(from time.Duration, perSecond float64) func(time.Duration) (float64, bool) {
	return func(at time.Duration) (float64, bool) { return perSecond, at >= from }
}

// unlimited is the limit of an endpoint that names none.
func unlimited(time.Duration) (float64, bool) { return 0, false }

// steady returns a constant demand.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}
