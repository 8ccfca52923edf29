package follow

import (
	"sync"
	"time"
)

// maxAnswerGap is the longest time between two answers of a store that counts as without an
// outage. An entry lapses only after several write intervals of its owner without a write, so
// that none lapses because of a shorter outage.
const maxAnswerGap = 2 * time.Second

// Uptime is what is known of the time for which a table's store has answered, this gateway or
// others. The zero value knows of no answer. Its methods are safe for concurrent use.
type Uptime struct {
	mu sync.Mutex
	// since and until are the first and the last answer of the latest time without a gap.
	since, until time.Time
}

// Answered records an answer at a time, in any order.
func (u *Uptime) Answered(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case at.IsZero():
	case at.After(u.until.Add(maxAnswerGap)):
		u.since, u.until = at, at
	case at.After(u.until):
		u.until = at
	case at.Before(u.since) && u.since.Sub(at) <= maxAnswerGap:
		u.since = at
	}
}

// Since returns the time since which the store has answered without a gap; zero if that is
// not known.
func (u *Uptime) Since(now time.Time) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.until) > maxAnswerGap {
		return time.Time{}
	}
	return u.since
}

// LastAnswer returns the time of the last answer; zero if there was none.
func (u *Uptime) LastAnswer() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.until
}
