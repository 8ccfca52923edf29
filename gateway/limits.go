package gateway

import (
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/admission"
	"github.com/pistachiowind/pistachiowind/gateway/peers/wire"
	"github.com/pistachiowind/pistachiowind/gateway/placement"
	"github.com/pistachiowind/pistachiowind/gateway/ratelimit"
	"github.com/pistachiowind/pistachiowind/gateway/registry"
	"github.com/pistachiowind/pistachiowind/gateway/relay"
)

const (
	// returnRanks is the number of ranks of client accounts whose returns are told apart;
	// higher ones count as the last.
	returnRanks = 8
	// maxReturnWait bounds the Retry-After of a request that the limits of the endpoints do
	// not allow: a limit usually ends within seconds.
	maxReturnWait = 5 * time.Second
)

// returnTimes holds, by service and rank, when the last of the refused callers should
// return, so that they come one after the other as the limits allow.
type returnTimes map[string]*[returnRanks]time.Time

// next returns the Retry-After of a caller: after all refused callers of its rank and of
// lower ones, which are more urgent, at the given number of requests a second.
func (r returnTimes) next(now time.Time, service string, perSecond float64, rank int) time.Duration {
	ranks := r[service]
	if ranks == nil {
		ranks = new([returnRanks]time.Time)
		r[service] = ranks
	}
	rank = min(max(rank, 0), returnRanks-1)
	at := now
	for _, last := range ranks[:rank+1] {
		if last.After(at) {
			at = last
		}
	}
	wait := at.Sub(now) + time.Duration(float64(time.Second)/perSecond)
	if wait >= maxReturnWait {
		return maxReturnWait
	}
	ranks[rank] = now.Add(wait)
	return wait
}

// observeLimit records what a notice says about the rate of requests that endpoint i
// accepts. The mutex is held.
func (d *dispatcher) observeLimit(now, sentAt time.Time, i registry.Incarnation, n relay.Notice) {
	if !n.ToThisRequest {
		sentAt = time.Time{}
	}
	if d.limits.Observe(now, sentAt, placement.Hash(i.ID), n.Limit) {
		d.onLimit(i.ID, n.Limit, false)
	}
}

// addLimits adds the site time and the limits of the endpoints to a statement; the interval
// is the time until the next one.
func (d *dispatcher) addLimits(now time.Time, interval time.Duration, s *wire.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	site, entries := d.limits.Statement(now, interval, maxLimits)
	s.SiteMs = uint64(site.Milliseconds())
	for _, e := range entries {
		i, known := d.registry.Incarnation(d.fleet.Name(e.Endpoint))
		if !known {
			continue
		}
		s.Limits = append(s.Limits, &wire.Limit{
			Endpoint: e.Endpoint, Born: i.Born, PerSecond: e.PerSecond, Lifted: e.Lifted,
			AtMs: uint64(max(e.At, 0).Milliseconds()), Wanted: float32(e.Wanted),
		})
	}
}

// applyLimits applies the site time and the limits in a peer's statement. Limits of an
// endpoint that this gateway does not know, or of an earlier or later process with its id,
// are left out. The mutex is held.
func (d *dispatcher) applyLimits(now time.Time, s *wire.Statement) {
	var entries []ratelimit.Entry
	for _, l := range s.Limits {
		i, known := d.registry.Incarnation(d.fleet.Name(l.Endpoint))
		if !known || i.Born != l.Born {
			continue
		}
		entries = append(entries, ratelimit.Entry{
			Endpoint: l.Endpoint, PerSecond: l.PerSecond, Lifted: l.Lifted,
			At: time.Duration(l.AtMs) * time.Millisecond, Wanted: float64(l.Wanted),
		})
	}
	for _, c := range d.limits.ApplyStatement(now, s.Sender, time.Duration(s.SiteMs)*time.Millisecond, entries) {
		d.onLimit(d.fleet.Name(c.Endpoint), c.Report(), true)
	}
}

// refuseNoEndpoint returns the refusal of a request that no endpoint of its service
// accepts.
func (d *dispatcher) refuseNoEndpoint(now time.Time, w *placement.Work, r relay.AdmissionRequest) *relay.Refusal {
	share := d.limitShare(w.Service)
	if share <= 0 {
		return &relay.Refusal{Reason: "no_endpoint", RetryAfter: d.retryAfter(now, w.Service, r.Priority)}
	}
	d.gate.CountRefused(now, admission.Request{Service: w.Service, Route: r.Route, Streaming: w.Streaming, Priority: r.Priority, Prompt: w.PromptTokens, IsRetry: r.IsRetry})
	return &relay.Refusal{Reason: "endpoint_limit", RetryAfter: d.returns.next(now, w.Service, share, r.Priority.Rank)}
}

// allowListing reports whether an engine may be asked for its cached parts now, which
// counts against its limit.
func (d *dispatcher) allowListing(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	_, allowed := d.limits.Check(now, placement.Hash(id))
	if allowed {
		d.limits.Take(now, placement.Hash(id))
	}
	return allowed
}

// limitShare returns the requests a second that this gateway may send to the limited
// endpoints of a service.
func (d *dispatcher) limitShare(service string) float64 {
	share := 0.0
	d.fleet.EachOf(service, func(endpoint uint64) { share += d.limits.Share(endpoint) })
	return share
}
