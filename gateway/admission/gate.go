package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// decayTime is the time constant of the exponential decay of request counts: a
	// few times the interval at which gateways exchange loads.
	decayTime = time.Second
	// shedGain is the ratio of the fraction of less urgent requests that is refused to
	// the fraction of more urgent ones that would be late: when a third of these would
	// be late, no less urgent request is admitted.
	shedGain = 3.0
	// recentWindow is the time since the last admission of less urgent requests after
	// which more urgent ones may be refused for lack of capacity. An admitted request
	// occupies its engine for about as long. Less urgent requests with larger prompts
	// are held back for the same time after a refusal of more urgent ones.
	recentWindow = 5 * time.Second
	// idleWaitDivisor is the divisor of a request's target that gives the longest wait
	// at which an endpoint counts as idle. Callers are assumed not to notice that wait.
	idleWaitDivisor = 8
	// minOffered is the number of requests below which the late fraction is not
	// significant.
	minOffered = 3.0
	// minCount is the decayed request count below which what a peer stated about
	// a class is dropped, and the late count below which own counts are not reported.
	minCount = 0.05
	// largeWorkRatio is the ratio of typical prompt sizes from which the class with
	// the larger prompts is refused first, of two classes with the same priority.
	largeWorkRatio = 2.0
	// largerPromptRatio is the ratio of typical prompt sizes from which some prompts
	// of one class are over twice as large as those of the other: sizes within a
	// class differ by a factor of two.
	largerPromptRatio = 1.25
	// sizeSmoothing is the weight of the newest prompt in the moving average that is
	// the typical prompt size of a class.
	sizeSmoothing = 0.05
	// maxClasses bounds the classes that are tracked; further ones are not added.
	maxClasses = 1024
)

// RequestClass identifies a class of requests that are admitted or refused alike.
type RequestClass struct {
	Service string
	// Route is the name of the route.
	Route    string
	Priority routing.Priority
}

// Pressure is the recent demand of one class at one gateway, and how much of it was
// expected to be late.
type Pressure struct {
	// Size is the typical number of prompt tokens.
	Size float64
	// Offered counts the requests, Late those that were expected to be later than their
	// target allows. Both decay with time.
	Offered, Late float64
	// LastAdmitted is the time of the latest admission; zero if there was none.
	LastAdmitted time.Time
	// LastRefused is the time of the latest refusal for lack of capacity; zero if
	// there was none.
	LastRefused time.Time
}

// decayingPressure is a Pressure whose counts decay; they hold as of the time at.
type decayingPressure struct {
	Pressure
	at time.Time
	// requests is the number of requests since the class was added.
	requests float64
	// firstPrompts is the sum of the first prompt sizes while the class has a short history.
	firstPrompts float64
}

func (p *decayingPressure) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(p.at)) / float64(decayTime))
	p.Offered *= factor
	p.Late *= factor
	p.at = now
}

// Gate is the admission controller for the requests of all services. While more
// urgent requests would be late, here or at another gateway, it refuses a share of
// the less urgent ones of the same service, so that engines serve the urgent ones
// first. A Gate is not safe for concurrent use.
type Gate struct {
	rng  *rand.Rand
	rule Rule
	own  map[RequestClass]*decayingPressure
	// peerPressures holds what peers stated, by class and peer.
	peerPressures map[RequestClass]map[string]*decayingPressure
	// shares is nil while accounts are not treated separately.
	shares *shares
}

// NewGate returns a Gate that has seen no requests.
func NewGate(rng *rand.Rand) *Gate {
	return &Gate{
		rng:           rng,
		own:           make(map[RequestClass]*decayingPressure),
		peerPressures: make(map[RequestClass]map[string]*decayingPressure),
	}
}

// SetRule sets the rule for the following requests.
func (g *Gate) SetRule(r Rule) { g.rule = r }

// checkTime decides from the expected times of a request alone.
func (g *Gate) checkTime(r Request, c Choice) Decision {
	if g.rule == DeadlineOnly {
		return checkDeadline(r, c)
	}
	return checkLatency(r, c)
}

// InTime reports whether an endpoint is expected to begin a request early enough that it is
// not refused for that.
func (g *Gate) InTime(r Request, c Choice) bool { return g.checkTime(r, c).Admitted }

// Decide admits or refuses a request for which c is the best endpoint. A stream that
// would miss its target but not its deadline is refused only if no less urgent one was
// admitted recently; until then it is admitted, and its lateness causes less urgent
// ones to be refused.
func (g *Gate) Decide(now time.Time, r Request, c Choice) Decision {
	decision := g.checkTime(r, c)
	if g.rule == DeadlineOnly {
		return decision
	}
	if !r.Streaming || r.IsRetry || decision.Reason == OutOfTime {
		return decision
	}
	k := RequestClass{Service: r.Service, Route: r.Route, Priority: r.Priority}
	p := g.countRequest(now, k, float64(r.Prompt), !decision.Admitted)
	displacesOthers := g.lessUrgentServed(now, k, p.Size)
	switch {
	case displacesOthers:
		decision = Decision{Admitted: true}
	case decision.Admitted && !g.endpointIdle(now, k, p.Size, r, c):
		decision = g.shed(now, k, p.Size)
	}
	if g.shares != nil {
		decision = g.divide(now, k, p.Size, r, c, decision)
	}
	if decision.Admitted {
		p.LastAdmitted = now
	} else {
		p.LastRefused = now
	}
	return decision
}

// CountRefused records a stream that no endpoint accepted, because those that are in need
// limit their requests. Less urgent work then yields to it, as if it had been late.
func (g *Gate) CountRefused(now time.Time, r Request) {
	if g.rule == DeadlineOnly || !r.Streaming || r.IsRetry {
		return
	}
	k := RequestClass{Service: r.Service, Route: r.Route, Priority: r.Priority}
	g.countRequest(now, k, float64(r.Prompt), true).LastRefused = now
}

// endpointIdle reports whether the chosen endpoint would begin a request nearly at
// once, so that a refusal would leave it idle. It is false for a while after more
// urgent requests were refused, which keeps the endpoint for their retries.
func (g *Gate) endpointIdle(now time.Time, k RequestClass, size float64, r Request, c Choice) bool {
	return c.Wait <= r.Target/idleWaitDivisor && !g.moreUrgentRefused(now, k, size)
}

// shed refuses a random share of the requests of a class in favor of more urgent
// ones. The Retry-After is randomized, so that refused callers do not retry all at
// once.
func (g *Gate) shed(now time.Time, k RequestClass, size float64) Decision {
	share := g.shedShare(now, k, size)
	if g.moreUrgentRefused(now, k, size) {
		share = max(share, 1)
	}
	if share <= 0 || g.rng.Float64() >= share {
		return Decision{Admitted: true, Share: share}
	}
	retryAfter := decayTime/2 + time.Duration(g.rng.Int64N(int64(decayTime)))
	return Decision{Reason: MoreUrgentRefused, RetryAfter: retryAfter, Share: share}
}

// lessUrgentServed reports whether this gateway recently admitted requests of a class
// over which k has precedence, or a peer admitted such requests with larger prompts.
// Classes of the same prompt size are shed by all gateways at once: shedding one after
// the other would take too long.
func (g *Gate) lessUrgentServed(now time.Time, k RequestClass, size float64) bool {
	for other, p := range g.own {
		if other.Service == k.Service && recent(now, p.LastAdmitted) && hasPrecedence(k.Priority, size, other.Priority, p.Size) {
			return true
		}
	}
	return g.anyPeer(k, func(other RequestClass, p *decayingPressure) bool {
		return recent(now, p.LastAdmitted) && p.Size > largerPromptRatio*size && hasPrecedence(k.Priority, size, other.Priority, p.Size)
	})
}

// moreUrgentRefused reports whether this gateway or a peer recently refused requests
// of a class that has precedence over k and smaller prompts. A request of k that is
// admitted then would be served in place of a refused one.
func (g *Gate) moreUrgentRefused(now time.Time, k RequestClass, size float64) bool {
	refused := func(other RequestClass, p *decayingPressure) bool {
		return recent(now, p.LastRefused) && size > largerPromptRatio*p.Size && hasPrecedence(other.Priority, p.Size, k.Priority, size)
	}
	for other, p := range g.own {
		if other.Service == k.Service && refused(other, p) {
			return true
		}
	}
	return g.anyPeer(k, refused)
}

// anyPeer reports whether has is true for another class of the same service at any
// peer. k itself is skipped: its typical size differs between gateways, which must
// not make it compete with itself.
func (g *Gate) anyPeer(k RequestClass, has func(RequestClass, *decayingPressure) bool) bool {
	for other, peers := range g.peerPressures {
		if other.Service != k.Service || other == k {
			continue
		}
		for _, p := range peers {
			if has(other, p) {
				return true
			}
		}
	}
	return false
}

// recent reports whether an admission or refusal is so recent that it affects classes
// of other urgency.
func recent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < recentWindow }

// isRecent reports whether the class had an admission or refusal that still affects
// other classes.
func (p *decayingPressure) isRecent(now time.Time) bool {
	return recent(now, p.LastAdmitted) || recent(now, p.LastRefused)
}

// countRequest counts a request and returns the counts of its class.
func (g *Gate) countRequest(now time.Time, k RequestClass, prompt float64, late bool) *decayingPressure {
	p := g.own[k]
	if p == nil {
		p = &decayingPressure{Pressure: Pressure{Size: prompt}, at: now}
		if len(g.own) < maxClasses {
			g.own[k] = p
		}
	}
	p.decay(now)
	p.Offered++
	if late {
		p.Late++
	}
	p.requests++
	g.updateSize(k, p, prompt)
	return p
}

// shedShare returns the fraction of the requests of a class that is refused because
// classes with precedence over it are late; 1 or more means all.
func (g *Gate) shedShare(now time.Time, k RequestClass, size float64) float64 {
	worst := 0.0
	consider := func(other RequestClass, otherSize float64) {
		if other.Service != k.Service || !hasPrecedence(other.Priority, otherSize, k.Priority, size) {
			return
		}
		sum := g.totalPressure(now, other)
		if sum.Offered >= minOffered {
			worst = max(worst, shedGain*sum.Late/sum.Offered)
		}
	}
	for other, p := range g.own {
		consider(other, p.Size)
	}
	for other, peers := range g.peerPressures {
		if g.own[other] != nil {
			continue
		}
		for _, p := range peers {
			consider(other, p.Size)
			break
		}
	}
	return worst
}

// hasPrecedence reports whether requests of the first priority and typical prompt size
// are served before those of the other.
func hasPrecedence(p routing.Priority, size float64, other routing.Priority, otherSize float64) bool {
	if p != other {
		return p.Before(other)
	}
	return otherSize >= largeWorkRatio*size
}

// totalPressure returns the counts of a class at this gateway with those that its
// peers stated added.
func (g *Gate) totalPressure(now time.Time, k RequestClass) Pressure {
	var sum Pressure
	if p := g.own[k]; p != nil {
		p.decay(now)
		sum = p.Pressure
	}
	for peer, p := range g.peerPressures[k] {
		p.decay(now)
		if p.Offered < minCount && !p.isRecent(now) {
			delete(g.peerPressures[k], peer)
			continue
		}
		sum.Offered += p.Offered
		sum.Late += p.Late
	}
	return sum
}

// ReportOwn calls report for each class of which this gateway expected requests to be late,
// and, without counts, for each class that it recently refused, or recently admitted
// although more urgent requests are late. A gateway that expects no request of a class
// to be late does not report its counts: the share to shed follows from the gateways
// at which the class is late.
func (g *Gate) ReportOwn(now time.Time, report func(RequestClass, Pressure)) {
	for k, p := range g.own {
		p.decay(now)
		if p.Late >= minCount {
			report(k, p.Pressure)
			continue
		}
		urgentLate := recent(now, p.LastAdmitted) && g.shedShare(now, k, p.Size) > 0
		if urgentLate || recent(now, p.LastRefused) {
			report(k, Pressure{Size: p.Size, LastAdmitted: p.LastAdmitted, LastRefused: p.LastRefused})
		}
	}
}

// SetPeerPressure replaces what a peer stated about a class.
func (g *Gate) SetPeerPressure(now time.Time, peer string, k RequestClass, r Pressure) {
	peers := g.peerPressures[k]
	if peers == nil {
		if len(g.peerPressures) >= maxClasses {
			return
		}
		peers = make(map[string]*decayingPressure)
		g.peerPressures[k] = peers
	}
	peers[peer] = &decayingPressure{Pressure: r, at: now}
}
