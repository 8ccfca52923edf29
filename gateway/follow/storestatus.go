package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minBackoff is the first backoff after a failed call, and fewGatewaysMaxBackoff the
	// longest one on a site with few gateways.
	minBackoff            = 100 * time.Millisecond
	fewGatewaysMaxBackoff = 700 * time.Millisecond
	// backoffPerGateway raises the longest backoff with the number of gateways: together
	// they then make about 30 calls a second to a store that is down.
	backoffPerGateway = 40 * time.Millisecond
	// maxBackoff bounds the longest backoff for any number of gateways. It is below 3 s:
	// the platform expects that the changes of a store are known once the store has been
	// back for that time.
	maxBackoff = 2500 * time.Millisecond
	// minWait is the shortest wait of a long poll, and waitPerGateway raises the longest
	// one with the number of gateways from fewGatewaysMaxWait to maxWait. A store that goes
	// silent never answers the long polls that are waiting. Those with shorter waits, among
	// all gateways, time out first and show the failure, and the others are then made again.
	// With few gateways, waits must be shorter for that.
	minWait            = 2 * time.Second
	fewGatewaysMaxWait = 3 * time.Second
	waitPerGateway     = time.Second
	maxWait            = 25 * time.Second
	// minWaitAlone and maxWaitAlone are the same for a gateway that hears of no other, or
	// of less than half of them: nobody tells it that it misses a change. With callSlack, a
	// lost answer is noticed within the 3 s in which the platform expects that.
	minWaitAlone = 600 * time.Millisecond
	maxWaitAlone = 800 * time.Millisecond
	// hintSpread is the time over which gateways spread their calls after a peer has
	// stated that the store answers again.
	hintSpread = 300 * time.Millisecond
	// minHintInterval is the least time between two hints that are followed: a gateway
	// whose own calls the store refuses keeps receiving hints that the store answers
	// others.
	minHintInterval = 2 * time.Second
)

// StoreStatus is the state of a store that its followers share: whether it is down, its
// era, and the backoff. While the store does not answer, the followers take turns at
// calling it, and all continue as soon as one call is answered. Its methods are safe for
// concurrent use.
type StoreStatus struct {
	mu  sync.Mutex
	rng *rand.Rand
	// backoff bounds the next pause, which is drawn from half of it to all of it.
	backoff time.Duration
	// backoffLimit is the upper bound of backoff.
	backoffLimit time.Duration
	// shortestWait and longestWait bound the wait of a long poll.
	shortestWait, longestWait time.Duration
	// nextCallAt is when the store may be called again while it is down.
	nextCallAt time.Time
	// abandoned is closed, and replaced, to abort the long polls in progress.
	abandoned chan struct{}
	// nextCallMoved is closed, and replaced, when nextCallAt becomes earlier.
	nextCallMoved chan struct{}
	// down states that a call failed and none was answered since.
	down bool
	// recoveredAt is when the store first answered after its last failure.
	recoveredAt time.Time
	// recheckedAt is when Recheck last aborted the long polls.
	recheckedAt time.Time
	// hintedAt is when a hint of a recovery was last followed.
	hintedAt time.Time
	// era is the latest era stated by an answer of the store.
	era uint64
	// eraHintedAt is when a hint of a later era was last followed.
	eraHintedAt time.Time
}

// NewStoreStatus returns a StoreStatus of a store that is not known to be down. The
// random source is for the jitter that spreads the calls of many processes.
func NewStoreStatus(rng *rand.Rand) *StoreStatus {
	return &StoreStatus{
		rng: rng, backoff: minBackoff, backoffLimit: fewGatewaysMaxBackoff, shortestWait: minWait, longestWait: fewGatewaysMaxWait,
		nextCallMoved: make(chan struct{}), abandoned: make(chan struct{}),
	}
}

// SetGateways sets the number of gateways that follow the store, and whether this one is
// alone: the only one, or cut off from most others. They determine the longest backoff and
// the waits.
func (s *StoreStatus) SetGateways(n int, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffLimit = min(max(time.Duration(n)*backoffPerGateway, fewGatewaysMaxBackoff), maxBackoff)
	if alone {
		s.shortestWait, s.longestWait = minWaitAlone, maxWaitAlone
		return
	}
	s.shortestWait = minWait
	s.longestWait = min(max(time.Duration(n)*waitPerGateway, fewGatewaysMaxWait), maxWait)
}

// nextWait returns how long the next long poll waits for changes, and the channel that
// is closed to abort it.
func (s *StoreStatus) nextWait() (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shortestWait + time.Duration(s.rng.Int64N(int64(s.longestWait-s.shortestWait))), s.abandoned
}

// abandon aborts the long polls in progress. The mutex is held.
func (s *StoreStatus) abandon() {
	close(s.abandoned)
	s.abandoned = make(chan struct{})
}

// Recheck aborts the long polls in progress, which are made again at once. It does nothing
// within minHintInterval of the last time.
func (s *StoreStatus) Recheck(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.recheckedAt) < minHintInterval {
		return
	}
	s.recheckedAt = now
	s.abandon()
}

// RecoveredAt returns when the store first answered after its last failure; zero while
// it is down, and if it never failed.
func (s *StoreStatus) RecoveredAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return time.Time{}
	}
	return s.recoveredAt
}

// ObserveEra records an era stated by an answer of the store. An era later than all
// before aborts the long polls in progress: the versions from which they continue may no
// longer exist.
func (s *StoreStatus) ObserveEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.era {
		return
	}
	s.era = era
	s.abandon()
}

// HintEra handles an era stated by another gateway. If it is later than the known one,
// the long polls in progress are aborted and made again; the known era changes only by
// the store's own answers.
func (s *StoreStatus) HintEra(now time.Time, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if era <= s.era || now.Sub(s.eraHintedAt) < minHintInterval {
		return
	}
	s.eraHintedAt = now
	s.abandon()
}

// Era returns the latest known era of the store; zero if it states none.
func (s *StoreStatus) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// HintRecovered handles a peer's statement that the store has answered it again since the
// given time. Long polls that this gateway made before that may never be answered.
func (s *StoreStatus) HintRecovered(now, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.hintedAt) < minHintInterval {
		return
	}
	if !s.down {
		if since.After(s.hintedAt) {
			s.hintedAt = now
			s.abandon()
		}
		return
	}
	s.hintedAt = now
	s.moveNextCall(now.Add(time.Duration(s.rng.Int64N(int64(hintSpread)))))
}

// moveNextCall allows the next call at the given time if it was to be later. The mutex
// is held.
func (s *StoreStatus) moveNextCall(t time.Time) {
	if !t.Before(s.nextCallAt) {
		return
	}
	s.nextCallAt = t
	close(s.nextCallMoved)
	s.nextCallMoved = make(chan struct{})
}

// answered records the first answer after a failure and lets all followers continue.
func (s *StoreStatus) answered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		return
	}
	s.down, s.recoveredAt, s.backoff = false, now, minBackoff
	s.moveNextCall(now)
}

// failed records a failed call. Only the first one of an outage sets the time of the
// next call; after later ones waitTurn has set it.
func (s *StoreStatus) failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.down, s.backoff = true, minBackoff
		s.nextCallAt = now.Add(s.drawBackoff())
		s.abandon()
	}
}

// drawBackoff returns a random pause until the next call and doubles the backoff for the
// one after it, up to backoffLimit. The mutex is held.
func (s *StoreStatus) drawBackoff() time.Duration {
	d := s.backoff/2 + time.Duration(s.rng.Int64N(int64(s.backoff/2)))
	s.backoff = min(2*s.backoff, s.backoffLimit)
	return d
}

// waitTurn waits until the caller may call the store, or ctx ends.
func (s *StoreStatus) waitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		wait, moved := time.Until(s.nextCallAt), s.nextCallMoved
		if !s.down || wait <= 0 {
			s.nextCallAt = time.Now().Add(s.drawBackoff())
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-moved:
		case <-timer.C:
		}
		timer.Stop()
	}
}
