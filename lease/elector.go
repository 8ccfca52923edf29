package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Table is the part of the table service that stores the lease. The client in
// package platform implements it. The election depends on these errors: ErrNotFound
// from Get, ErrConflict and ErrOutcomeUnknown from Put, all of package storage.
type Table interface {
	Get(ctx context.Context, key string) (storage.Row, error)
	Put(ctx context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error)
}

// Options configures the election for one lease. Table, Name and Self are
// required.
type Options struct {
	Table Table
	// Name is the name of the lease, such as Placement. Self is the incarnation of
	// this process, which identifies it as a holder.
	Name string
	Self string
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Times are the periods of the election; its zero value is the default.
	Times Times
	// CallTimeout bounds a call of the table; zero means storage.DefaultCallTimeout.
	CallTimeout time.Duration
	// Candidate reports whether this process is to compete; nil means always. While it is
	// none and does not hold the lease, it makes no calls.
	Candidate func() bool
}

// minPause is the shortest sleep of the loop in Serve, so that it does not spin
// when the time of the next call has passed but no call is due.
const minPause = 100 * time.Millisecond

// Elector competes for a lease until its context ends: it makes the table calls
// that the state machine of this package requests. It is safe for concurrent use.
type Elector struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex
	election *Election
}

// NewElector returns an elector that makes no calls and does not hold the lease until
// Serve is called.
func NewElector(o Options) *Elector {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = storage.DefaultCallTimeout
	}
	return &Elector{options: o, wake: make(chan struct{}, 1), election: NewElectionWith(o.Self, o.Times)}
}

// Held returns the fencing number and true while this process holds the lease, and
// otherwise 0 and false. It reads the clock on each call, so that a process that was
// paused does not act on a lease that has expired meanwhile.
func (e *Elector) Held() (number uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Held(e.options.Now())
}

// Current returns the lease and true while this process holds it; see Held.
func (e *Elector) Current() (Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Current(e.options.Now())
}

// Resign gives up the lease and stops competing for it. Serve must keep running for
// one more write, which releases the row.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.election.Resign(e.options.Now())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Resigned reports whether the row has been released after a resignation, so that
// Serve can be stopped.
func (e *Elector) Resigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.election.Resigned()
}

// Serve competes for the lease until ctx ends, and then returns ctx.Err(). It makes
// one table call at a time and repeats failed ones.
func (e *Elector) Serve(ctx context.Context) error {
	for {
		pause := e.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-e.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step makes the table call that is due, if any, and returns the time until the
// next one.
func (e *Elector) step(ctx context.Context) time.Duration {
	e.mu.Lock()
	if e.options.Candidate != nil && !e.election.ownsRow() && !e.options.Candidate() {
		e.mu.Unlock()
		return e.options.Times.withDefaults().Observe
	}
	action, due := e.election.Next(e.options.Now())
	e.mu.Unlock()
	if due {
		row, err := e.callTable(ctx, action)
		e.mu.Lock()
		e.election.HandleResult(e.options.Now(), action, row, err)
		e.mu.Unlock()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(minPause, e.election.NextAt().Sub(e.options.Now()))
}

func (e *Elector) callTable(ctx context.Context, a Action) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, e.options.CallTimeout)
	defer cancel()
	if a.Write {
		return e.options.Table.Put(ctx, RowKey(e.options.Name), a.Value, a.Expected)
	}
	return e.options.Table.Get(ctx, RowKey(e.options.Name))
}
