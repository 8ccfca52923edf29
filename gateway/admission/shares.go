package admission

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// levelMaxAge is how long the level of a class is used before it is computed again,
	// so that its cost does not grow with the number of requests. Demands change with
	// decayTime, which is 20 times as long.
	levelMaxAge = 50 * time.Millisecond
	// maxShareRetryAfter bounds the Retry-After of an account far above its share.
	maxShareRetryAfter = 30 * time.Second
)

// Standings of a refused request's account.
const (
	WithinShare = "within_share"
	AboveShare  = "above_share"
)

// Share holds the inputs of a decision by fair shares. The zero value means that the
// request was not subject to them.
type Share struct {
	// Standing is WithinShare or AboveShare.
	Standing string
	// Level is the admitted demand up to which no request of an account is refused, and
	// Demand that of the account, in recent requests of the class at all gateways.
	Level, Demand float64
}

// classLevel is the max-min fair level of a class as of the time at.
type classLevel struct {
	at    time.Time
	level float64
	// refused is the fraction of the demand for which the class has no room.
	refused float64
}

// fairLevel returns the level up to which the demand of each account is met when the sum
// of what is met is capacity; the largest demand if there is room for all. It sorts demands.
func fairLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		level := capacity / float64(len(demands)-i)
		if d >= level {
			return max(level, 0)
		}
		capacity -= d
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}

// currentLevel returns the level of a class, which is at most levelMaxAge old.
func (c *classDemands) currentLevel(now time.Time) classLevel {
	if !c.level.at.IsZero() && now.Sub(c.level.at) < levelMaxAge {
		return c.level
	}
	var offered, admitted float64
	demands := make([]float64, 0, len(c.own)+len(c.stated))
	add := func(o, a float64) {
		offered, admitted = offered+o, admitted+a
		demands = append(demands, o)
	}
	for account, a := range c.own {
		a.decay(now)
		s := c.statedOf(account)
		add(a.offered+float64(s.offered)/tallyUnit, a.admitted+float64(s.admitted)/tallyUnit)
	}
	for account, s := range c.stated {
		if c.own[account] == nil {
			add(float64(s.offered)/tallyUnit, float64(s.admitted)/tallyUnit)
		}
	}
	c.level = classLevel{at: now}
	// The fraction is not significant, and divides nothing, for a few requests.
	// An account alone is decided as without shares.
	if len(demands) > 1 && offered >= minOffered && offered-admitted >= minCount {
		c.level.level = fairLevel(demands, admitted)
		c.level.refused = 1 - admitted/offered
	}
	return c.level
}

// demand returns the recent requests of an account at all gateways.
func (c *classDemands) demand(now time.Time, account string) float64 {
	total := float64(c.statedOf(account).offered) / tallyUnit
	if a := c.own[account]; a != nil {
		a.decay(now)
		total += a.offered
	}
	return total
}

// shares divides what can be admitted of each class among the client accounts.
type shares struct {
	demandTable
	floors floors
	// rng is separate from that of the gate: draws for accounts do not change other
	// decisions.
	rng *rand.Rand
}

// shortage states how a request without account shares would be decided, and why.
type shortage struct {
	// room is true if the request would be admitted, and idle if its endpoint is idle.
	room, idle bool
	// yields is true if a class with precedence needs the room of all requests.
	yields bool
}

// apply decides a request for whose class s holds. An account with demand d is refused with
// probability r = 1 - level/d, so that the accounts together are refused as often as
// without shares. With f as the refused fraction of the class, requests without room are
// refused with probability r/f, at most 1, and others with probability (r-f)/(1-f), at least
// 0. Both together give r, refusals occur where room is lacking as far as possible, and for
// an account alone nothing changes, since r = f.
func (x *shares) apply(now time.Time, k RequestClass, account string, s shortage) (admitted bool, share Share) {
	c := x.class(k)
	if c == nil {
		return s.room, Share{}
	}
	level := c.currentLevel(now)
	// The demand without this request is unbiased. With it, an account of five requests a
	// second at its share would count as a fifth above it.
	demand := c.demand(now, account)
	c.count(now, account, s.room)
	if level.refused <= 0 {
		return s.room, Share{}
	}
	share = Share{Standing: WithinShare, Level: level.level, Demand: demand}
	refuse := 0.0
	if share.Demand > share.Level {
		share.Standing = AboveShare
		refuse = 1 - share.Level/share.Demand
	}
	switch {
	case s.room && s.idle, !s.room && s.yields:
		return s.room, share
	case s.room:
		return refuse <= level.refused || x.rng.Float64()*(1-level.refused) >= refuse-level.refused, share
	default:
		return x.rng.Float64()*level.refused >= refuse, share
	}
}

// retryAfter returns the Retry-After of a refused request: at least otherwise, which holds
// without shares, and up to the time in which the share of the account covers its backlog.
// It is randomized, so that refused callers do not retry all at once.
func (x *shares) retryAfter(s Share, otherwise time.Duration) time.Duration {
	if otherwise == 0 {
		otherwise = decayTime/2 + time.Duration(x.rng.Int64N(int64(decayTime)))
	}
	if s.Standing != AboveShare {
		return otherwise
	}
	backlog := maxShareRetryAfter.Seconds()
	if s.Level > 0 {
		backlog = min(backlog, (s.Demand/s.Level-1)*decayTime.Seconds())
	}
	spread := (1 + x.rng.Float64()) / 2
	return max(otherwise, time.Duration(backlog*spread*float64(time.Second)))
}
