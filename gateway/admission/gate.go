package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachiowind/pistachiowind/gateway/routing"
)

const (
	// memory is the time constant with which counts of requests fade. It is a few
	// times the interval at which gateways exchange loads.
	memory = time.Second
	// shedGain turns the late share of more urgent work into the share of less
	// urgent work that is refused: at a third, nothing less urgent is served.
	shedGain = 3.0
	// yieldTime is how long work that was let in must have been the last of its
	// kind before more urgent work may be refused for lack of room. What it takes
	// from the engines lasts about as long.
	yieldTime = 5 * time.Second
	// freePart divides the target of a request: up to that wait, its endpoint counts as
	// free. It is the wait that callers are said not to notice.
	freePart = 8
	// minOffered is the number of requests below which a share tells nothing.
	minOffered = 3.0
	// negligible is the count below which a kind of work is forgotten.
	negligible = 0.05
	// sizeRatio is the ratio of typical prompt sizes from which the larger of two
	// kinds of work of the same priority is refused first.
	sizeRatio = 2.0
	// largerRatio is the ratio of typical prompt sizes from which some prompts of the
	// larger kind are over twice as large as those of the other: sizes of one kind
	// differ by a factor of two.
	largerRatio = 1.25
	// sizeSmoothing is the weight of the newest prompt in a typical size.
	sizeSmoothing = 0.05
	// maxKinds bounds the kinds of work that are remembered. Beyond it, no new
	// ones are.
	maxKinds = 1024
)

// Kind names requests that are alike.
type Kind struct {
	Service string
	// Route is the name of the route.
	Route    string
	Priority routing.Priority
}

// Pressure tells how much of a kind of work was expected to be late.
type Pressure struct {
	// Size is the typical number of prompt tokens.
	Size float64
	// Offered and Late are numbers of requests that fade with time; Late ones were
	// expected to be late.
	Offered, Late float64
	// LastAdmitted is when such work was let in last; zero for never.
	LastAdmitted time.Time
	// LastRefused is when such work was refused for lack of room last.
	LastRefused time.Time
}

type faded struct {
	Pressure
	at time.Time
}

func (f *faded) fade(now time.Time) {
	factor := math.Exp(-float64(now.Sub(f.at)) / float64(memory))
	f.Offered *= factor
	f.Late *= factor
	f.at = now
}

// Gate decides about the requests of all services. While more urgent work would
// be late, here or at another gateway, it refuses a share of the work that is
// less urgent, so that the room goes to the urgent first. A Gate is not safe
// for concurrent use.
type Gate struct {
	rng  *rand.Rand
	rule Rule
	own  map[Kind]*faded
	// heard is by kind and peer.
	heard map[Kind]map[string]*faded
}

// NewGate returns a Gate without history.
func NewGate(rng *rand.Rand) *Gate {
	return &Gate{rng: rng, own: make(map[Kind]*faded), heard: make(map[Kind]map[string]*faded)}
}

// SetRule changes the rule.
func (g *Gate) SetRule(r Rule) { g.rule = r }

// Decide judges a request. Work that would be late is refused only when work that
// is less urgent is refused already; until then it presses the latter out.
func (g *Gate) Decide(now time.Time, r Request, c Choice) Verdict {
	if g.rule == DeadlineOnly {
		return judgeDeadline(r, c)
	}
	v := Judge(r, c)
	if !r.Streaming || r.Further || v.Reason == OutOfTime {
		return v
	}
	k := Kind{Service: r.Service, Route: r.Route, Priority: r.Priority}
	f := g.note(now, k, float64(r.Prompt), !v.Admitted)
	yields := g.lessUrgentServed(now, k, f.Size)
	switch {
	case yields:
		v = Verdict{Admitted: true}
	case v.Admitted && !g.free(now, k, f.Size, r, c):
		v = g.makeRoom(now, k, f.Size)
	}
	if v.Admitted {
		f.LastAdmitted = now
	} else {
		f.LastRefused = now
	}
	return v
}

// free reports whether the chosen endpoint would begin a request nearly at once, so
// that refusing it leaves the endpoint idle. After more urgent work was refused, its
// return comes first.
func (g *Gate) free(now time.Time, k Kind, size float64, r Request, c Choice) bool {
	return c.Wait <= r.Target/freePart && !g.moreUrgentRefused(now, k, size)
}

// makeRoom draws whether a request makes room for more urgent work. The advice to
// return is spread, so that the refused do not come back as one crowd.
func (g *Gate) makeRoom(now time.Time, k Kind, size float64) Verdict {
	share := g.shareBefore(now, k, size)
	if g.moreUrgentRefused(now, k, size) {
		share = max(share, 1)
	}
	if share <= 0 || g.rng.Float64() >= share {
		return Verdict{Admitted: true, Share: share}
	}
	after := memory/2 + time.Duration(g.rng.Int64N(int64(memory)))
	return Verdict{Reason: MoreUrgentRefused, RetryAfter: after, Share: share}
}

// lessUrgentServed reports whether this gateway lately admitted work that goes after
// the given one, or a peer such work with larger prompts. Work of the same size is
// shed by all gateways at once: one kind after the other would take too long.
func (g *Gate) lessUrgentServed(now time.Time, k Kind, size float64) bool {
	for other, f := range g.own {
		if other.Service == k.Service && recent(now, f.LastAdmitted) && goesBefore(k.Priority, size, other.Priority, f.Size) {
			return true
		}
	}
	return g.heardAny(k, func(other Kind, f *faded) bool {
		return recent(now, f.LastAdmitted) && f.Size > largerRatio*size && goesBefore(k.Priority, size, other.Priority, f.Size)
	})
}

// moreUrgentRefused reports whether this gateway or a peer lately refused work that
// goes before the given one and has smaller prompts. What is let in would be served
// in the place of what was refused.
func (g *Gate) moreUrgentRefused(now time.Time, k Kind, size float64) bool {
	refused := func(other Kind, f *faded) bool {
		return recent(now, f.LastRefused) && size > largerRatio*f.Size && goesBefore(other.Priority, f.Size, k.Priority, size)
	}
	for other, f := range g.own {
		if other.Service == k.Service && refused(other, f) {
			return true
		}
	}
	return g.heardAny(k, refused)
}

// heardAny reports whether some other kind of work of the same service has a property
// at a peer. The typical sizes of one kind differ between gateways, which must not
// make it compete with itself.
func (g *Gate) heardAny(k Kind, has func(Kind, *faded) bool) bool {
	for other, peers := range g.heard {
		if other.Service != k.Service || other == k {
			continue
		}
		for _, f := range peers {
			if has(other, f) {
				return true
			}
		}
	}
	return false
}

// recent reports whether something was so lately that work of another urgency is
// bound by it.
func recent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < yieldTime }

// bound reports whether a kind of work binds others.
func (f *faded) bound(now time.Time) bool {
	return recent(now, f.LastAdmitted) || recent(now, f.LastRefused)
}

// note counts a request and returns the counts of its kind.
func (g *Gate) note(now time.Time, k Kind, prompt float64, late bool) *faded {
	f := g.own[k]
	if f == nil {
		f = &faded{Pressure: Pressure{Size: prompt}, at: now}
		if len(g.own) < maxKinds {
			g.own[k] = f
		}
	}
	f.fade(now)
	f.Offered++
	if late {
		f.Late++
	}
	f.Size += sizeSmoothing * (prompt - f.Size)
	return f
}

// shareBefore returns the share of the given kind of work that makes room for the
// kinds that go before it.
func (g *Gate) shareBefore(now time.Time, k Kind, size float64) float64 {
	worst := 0.0
	consider := func(other Kind, otherSize float64) {
		if other.Service != k.Service || !goesBefore(other.Priority, otherSize, k.Priority, size) {
			return
		}
		sum := g.total(now, other)
		if sum.Offered >= minOffered {
			worst = max(worst, shedGain*sum.Late/sum.Offered)
		}
	}
	for other, f := range g.own {
		consider(other, f.Size)
	}
	for other, peers := range g.heard {
		if g.own[other] != nil {
			continue
		}
		for _, f := range peers {
			consider(other, f.Size)
			break
		}
	}
	return worst
}

// goesBefore reports whether work of a priority and size is served before other
// work.
func goesBefore(p routing.Priority, size float64, other routing.Priority, otherSize float64) bool {
	if p != other {
		return p.Before(other)
	}
	return otherSize >= sizeRatio*size
}

// total sums what this gateway and its peers say of a kind.
func (g *Gate) total(now time.Time, k Kind) Pressure {
	var sum Pressure
	if f := g.own[k]; f != nil {
		f.fade(now)
		sum = f.Pressure
	}
	for peer, f := range g.heard[k] {
		f.fade(now)
		if f.Offered < negligible && !f.bound(now) {
			delete(g.heard[k], peer)
			continue
		}
		sum.Offered += f.Offered
		sum.Late += f.Late
	}
	return sum
}

// Own calls report for each kind of work of which this gateway expected some to be
// late, and, without counts, for what it lately refused, or let in although more
// urgent work presses. Counts of gateways that expect nothing to be late are not told:
// the share that makes room follows from those where it is late.
func (g *Gate) Own(now time.Time, report func(Kind, Pressure)) {
	for k, f := range g.own {
		f.fade(now)
		if f.Late >= negligible {
			report(k, f.Pressure)
			continue
		}
		pressed := recent(now, f.LastAdmitted) && g.shareBefore(now, k, f.Size) > 0
		if pressed || recent(now, f.LastRefused) {
			report(k, Pressure{Size: f.Size, LastAdmitted: f.LastAdmitted, LastRefused: f.LastRefused})
		}
	}
}

// Hear takes what a peer says of a kind of work.
func (g *Gate) Hear(now time.Time, peer string, k Kind, r Pressure) {
	peers := g.heard[k]
	if peers == nil {
		if len(g.heard) >= maxKinds {
			return
		}
		peers = make(map[string]*faded)
		g.heard[k] = peers
	}
	peers[peer] = &faded{Pressure: r, at: now}
}
