package follow

import (
	"sync"
	"time"
)

// progress is how far a Follower has followed its table. It is shared with the goroutines
// that receive the statements of other gateways.
type progress struct {
	mu sync.Mutex
	// version and era are those of the last answer.
	version int64
	era     uint64
	// changedAt is the version of the latest change that was received.
	changedAt int64
	// behindSince is when another gateway first stated a change later than version; zero if
	// none has.
	behindSince time.Time
	// behind is closed, and replaced, to end the long poll in progress.
	behind chan struct{}
}

// answered records the page of an answer.
func (p *progress) answered(page Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if page.Era != p.era {
		p.changedAt = 0
	}
	p.version, p.era, p.behindSince = page.Version, page.Era, time.Time{}
	for _, row := range page.Rows {
		version := row.Version
		if version == 0 {
			version = page.Version
		}
		p.changedAt = max(p.changedAt, version)
	}
}

// interrupted returns the channel that is closed to end the next long poll.
func (p *progress) interrupted() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.behind
}

// LatestChange returns the era and the version of the latest change that was received; the
// version is zero if there was none.
func (f *Follower) LatestChange() (era uint64, version int64) {
	f.progress.mu.Lock()
	defer f.progress.mu.Unlock()
	return f.progress.era, f.progress.changedAt
}

// HintChange handles another gateway's statement of the latest change that it has received.
// If this gateway still has not received it after the time in which changes are coalesced,
// the answer to its long poll may be lost, and the poll is made again.
func (f *Follower) HintChange(now time.Time, era uint64, version int64) {
	p := &f.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case era != p.era || version <= p.version:
	case p.behindSince.IsZero():
		p.behindSince = now
	case now.Sub(p.behindSince) >= f.coalesceDelay:
		p.behindSince = now
		close(p.behind)
		p.behind = make(chan struct{})
	}
}
