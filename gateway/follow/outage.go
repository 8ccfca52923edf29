package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff is the first pause after a failed call, and shortBackoff the longest
	// one on a site of few gateways.
	minBackoff   = 100 * time.Millisecond
	shortBackoff = 700 * time.Millisecond
	// backoffPerGateway lengthens the longest pause with the number of gateways:
	// together they then make about 30 calls a second to a store that is down.
	backoffPerGateway = 40 * time.Millisecond
	// longBackoff bounds that. It is below the 3 s for which the platform lets a store
	// be back before it expects its changes to be known.
	longBackoff = 2500 * time.Millisecond
	// shortestWait is the shortest wait of a call for changes, and waitPerGateway
	// lengthens the longest one with the number of gateways up to longestWait. A store
	// that goes silent swallows the calls that wait; the shorter ones among those of
	// all gateways show that, and the others are then made anew. Few gateways need
	// shorter waits for that.
	shortestWait   = 2 * time.Second
	waitPerGateway = time.Second
	longestWait    = 25 * time.Second
	// hintSpread is the time over which gateways that are told of the store's return
	// spread their calls.
	hintSpread = 300 * time.Millisecond
	// hintEvery is the shortest time between two hints that are followed: a gateway
	// that the store turns away hears of its success with others all the time.
	hintEvery = 2 * time.Second
)

// Outage is what the followers of one store share while it does not answer: one
// of them asks at a time, and all go on as soon as one was answered. Its methods
// are safe for concurrent use.
type Outage struct {
	mu      sync.Mutex
	rng     *rand.Rand
	backoff time.Duration
	longest time.Duration
	// waits bounds the wait of a call for changes.
	waits time.Duration
	// next is when the store may be asked again.
	next time.Time
	// abandoned ends the calls that wait; closed and replaced to end them.
	abandoned chan struct{}
	// changed is closed when next becomes earlier.
	changed chan struct{}
	down    bool
	// answeredAt is when the store answered after its last failure.
	answeredAt time.Time
	hintedAt   time.Time
	// era is the latest one that an answer stated.
	era uint64
	// eraHintedAt is when a hint of a later era was followed last.
	eraHintedAt time.Time
}

// NewOutage returns an Outage of a store that is not known to be down. The random
// source spreads the calls of many processes.
func NewOutage(rng *rand.Rand) *Outage {
	return &Outage{
		rng: rng, backoff: minBackoff, longest: shortBackoff, waits: 2 * shortestWait,
		changed: make(chan struct{}), abandoned: make(chan struct{}),
	}
}

// SetGateways states how many gateways follow the store.
func (o *Outage) SetGateways(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.longest = min(max(time.Duration(n)*backoffPerGateway, shortBackoff), longBackoff)
	o.waits = min(max(time.Duration(n)*waitPerGateway, 2*shortestWait), longestWait)
}

// waiting returns how long the next call waits for changes, and the channel whose
// end abandons it.
func (o *Outage) waiting() (time.Duration, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return shortestWait + time.Duration(o.rng.Int64N(int64(o.waits-shortestWait))), o.abandoned
}

// abandon ends the calls that wait. The mutex is held.
func (o *Outage) abandon() {
	close(o.abandoned)
	o.abandoned = make(chan struct{})
}

// AnsweredAfterOutage returns when the store answered after its last failure; zero
// while it is down, and if it never failed.
func (o *Outage) AnsweredAfterOutage() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return time.Time{}
	}
	return o.answeredAt
}

// NoteEra notes the era that an answer of the store states. One that is later than all before ends the calls
// that wait: the versions that they go on from may not exist any more.
func (o *Outage) NoteEra(era uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era <= o.era {
		return
	}
	o.era = era
	o.abandon()
}

// HintEra states that another gateway knows an era. Calls that wait are made anew if
// it is later than the own one; only the store's own answers decide.
func (o *Outage) HintEra(now time.Time, era uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if era <= o.era || now.Sub(o.eraHintedAt) < hintEvery {
		return
	}
	o.eraHintedAt = now
	o.abandon()
}

// Era returns the latest era of the store that is known; zero if it states none.
func (o *Outage) Era() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.era
}

// Hint states that the store answers another gateway again since the given time.
// Calls that this gateway made before may have been swallowed.
func (o *Outage) Hint(now, since time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.hintedAt) < hintEvery {
		return
	}
	if !o.down {
		if since.After(o.hintedAt) {
			o.hintedAt = now
			o.abandon()
		}
		return
	}
	o.hintedAt = now
	o.askBy(now.Add(time.Duration(o.rng.Int64N(int64(hintSpread)))))
}

// askBy lets the store be asked no later than at the given time. The mutex is held.
func (o *Outage) askBy(t time.Time) {
	if !t.Before(o.next) {
		return
	}
	o.next = t
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *Outage) answered(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.down {
		return
	}
	o.down, o.answeredAt, o.backoff = false, now, minBackoff
	o.askBy(now)
}

// failed notes a failed call. Only the first one of an outage sets the time of the
// next; later ones were given their time by turn.
func (o *Outage) failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.down {
		o.down, o.backoff = true, minBackoff
		o.next = now.Add(o.pause())
		o.abandon()
	}
}

// pause draws the pause until the next call and lengthens the one after it.
func (o *Outage) pause() time.Duration {
	d := o.backoff/2 + time.Duration(o.rng.Int64N(int64(o.backoff/2)))
	o.backoff = min(2*o.backoff, o.longest)
	return d
}

// turn waits until the caller may ask the store.
func (o *Outage) turn(ctx context.Context) {
	for ctx.Err() == nil {
		o.mu.Lock()
		wait, changed := time.Until(o.next), o.changed
		if !o.down || wait <= 0 {
			o.next = time.Now().Add(o.pause())
			o.mu.Unlock()
			return
		}
		o.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}
