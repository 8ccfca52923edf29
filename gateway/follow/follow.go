// Package follow keeps a local copy of a table of the platform's store: it lists
// the table once, then waits for changes, and lists again when the store no
// longer has the history that it needs. It tells its Sink when the store stops
// answering and when it answers again.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// ErrHistoryGone means that the store has dropped the changes since the asked
// version; only a new listing helps.
var ErrHistoryGone = errors.New("follow: history of the store is gone")

const (
	// changesWait is how long one call waits for a change. Longer waits save
	// calls; a connection that goes silent is found by TCP keep-alive.
	changesWait = 15 * time.Second
	// gather is the pause after an answer with changes, so that the changes of a
	// moment, such as a rolling release, take one call. It is a small part of the
	// time within which a change must be in force.
	gather = 300 * time.Millisecond
	// callSlack is added to the wait before a call counts as failed.
	callSlack = 2 * time.Second
	// listTimeout bounds a listing.
	listTimeout = 3 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call. The longest
	// pause is well below the time within which a change must be in force.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
)

// Row is a row of the table.
type Row struct {
	Key     string
	Data    []byte
	Deleted bool
}

// Page is a set of rows with the version of the store that it reflects.
type Page struct {
	Rows    []Row
	Version int64
}

// Source reads a table.
type Source interface {
	// List returns all rows as of one moment.
	List(ctx context.Context) (Page, error)
	// Changes returns the rows that changed after a version, waiting for the
	// first one. Errors: ErrHistoryGone.
	Changes(ctx context.Context, since int64, wait time.Duration) (Page, error)
}

// Sink takes what was read. Its methods are called by one goroutine.
type Sink interface {
	// Listed takes the whole table.
	Listed(rows []Row)
	// Changed takes rows in the order of their changes.
	Changed(rows []Row)
	// Lost notes the first failed call after a successful one.
	Lost(cause error)
	// Regained notes the first successful call, and the first one after a failed
	// one; the rows of that call follow.
	Regained()
}

// Follower follows one table.
type Follower struct {
	source Source
	sink   Sink
	rng    *rand.Rand
	lost   bool
	// reached states that the store has answered once.
	reached bool
}

// New returns a Follower. The random source spreads the retries of many
// processes.
func New(source Source, sink Sink, rng *rand.Rand) *Follower {
	return &Follower{source: source, sink: sink, rng: rng}
}

// Serve follows the table until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	var version int64
	listed := false
	backoff := minBackoff
	for ctx.Err() == nil {
		page, err := f.next(ctx, listed, version)
		switch {
		case err == nil:
			f.succeeded()
			f.deliver(page, listed)
			if listed && len(page.Rows) > 0 {
				f.sleep(ctx, gather)
			}
			version, listed = page.Version, true
			backoff = minBackoff
		case errors.Is(err, ErrHistoryGone):
			f.succeeded()
			listed = false
		default:
			f.failed(ctx, err)
			f.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return ctx.Err()
}

func (f *Follower) next(ctx context.Context, listed bool, version int64) (Page, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.source.List(ctx)
	}
	// After a failure, a short wait shows soon whether the store is back.
	wait := changesWait
	if f.lost {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return f.source.Changes(ctx, version, wait)
}

func (f *Follower) deliver(page Page, listed bool) {
	if !listed {
		f.sink.Listed(page.Rows)
		return
	}
	if len(page.Rows) > 0 {
		f.sink.Changed(page.Rows)
	}
}

func (f *Follower) succeeded() {
	if f.lost || !f.reached {
		f.lost, f.reached = false, true
		f.sink.Regained()
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.sink.Lost(err)
}

// sleep waits for between half of d and d.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + time.Duration(f.rng.Int64N(int64(d/2))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
