package placement

import (
	"slices"
	"time"
)

// backlog holds the prompts that peers stated as unread at an endpoint. Each peer's
// part is expected to fall evenly to zero: the end of a read is told only in the
// peer's next usual statement, and until then the endpoint would look busy.
//
// The sum of the parts is kept as a line over time, so that reading it costs the
// same for any number of peers.
type backlog struct {
	parts []unread
	// from is the time at which sum holds; after it, perMS leaves each millisecond.
	from  time.Time
	sum   float64
	perMS float64
	// until is when the first part ends and the line changes.
	until time.Time
}

type unread struct {
	peer   string
	tokens float64
	at     time.Time
	// perMS is the speed in tokens per millisecond at which the part falls.
	perMS float64
	end   time.Time
}

// left returns the tokens that are expected to be unread.
func (b *backlog) left(now time.Time) int {
	if len(b.parts) == 0 {
		return 0
	}
	if !now.Before(b.until) {
		b.renew(now)
	}
	return max(int(b.sum-b.perMS*sinceMS(now, b.from)), 0)
}

// set replaces a peer's part. The endpoint reads rate tokens per millisecond and is
// expected to have read the part together with all else that waits there, own
// tokens of this gateway included.
func (b *backlog) set(now time.Time, peer string, tokens, own int, rate float64) {
	before := len(b.parts)
	b.parts = slices.DeleteFunc(b.parts, func(u unread) bool { return u.peer == peer })
	if len(b.parts) < before {
		b.renew(now)
	}
	if tokens <= 0 {
		return
	}
	within := float64(own+b.left(now)+tokens) / rate
	b.parts = append(b.parts, unread{
		peer: peer, tokens: float64(tokens), at: now,
		perMS: float64(tokens) / within, end: now.Add(milliseconds(within)),
	})
	b.renew(now)
}

// renew drops the parts that have ended and draws the line anew.
func (b *backlog) renew(now time.Time) {
	b.parts = slices.DeleteFunc(b.parts, func(u unread) bool { return !now.Before(u.end) })
	b.from, b.sum, b.perMS, b.until = now, 0, 0, time.Time{}
	for _, u := range b.parts {
		b.sum += u.tokens - u.perMS*sinceMS(now, u.at)
		b.perMS += u.perMS
		if b.until.IsZero() || u.end.Before(b.until) {
			b.until = u.end
		}
	}
}

func sinceMS(now, from time.Time) float64 {
	return float64(now.Sub(from)) / float64(time.Millisecond)
}
