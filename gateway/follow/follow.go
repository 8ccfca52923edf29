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
	// defaultGather is the pause after an answer with changes, so that the changes of
	// a moment, such as a rolling release, take one call.
	defaultGather = 300 * time.Millisecond
	// callSlack is added to the wait before a call counts as failed.
	callSlack = 2 * time.Second
	// listTimeout bounds a listing.
	listTimeout = 3 * time.Second
	// staleAnswerPause is the pause after an answer of an earlier era of the store: some
	// of its processes may not know the later one yet.
	staleAnswerPause = 200 * time.Millisecond
)

// errAbandoned ends a call that waits while another one shows that the store was
// away.
var errAbandoned = errors.New("follow: call abandoned as the store was away")

// Row is a row of the table.
type Row struct {
	Key     string
	Data    []byte
	Deleted bool
	// Era is that of the answer which held the row.
	Era uint64
}

// Page is a set of rows with the version of the store that it reflects.
type Page struct {
	Rows    []Row
	Version int64
	// Era is the number of times that the store has come back from an older copy; zero
	// for one that states none. Versions of one era say nothing about another.
	Era uint64
}

// Source reads a table.
type Source interface {
	// List returns all rows as of one moment.
	List(ctx context.Context) (Page, error)
	// Changes returns the rows that changed after a version, waiting for the
	// first one. Errors: ErrHistoryGone.
	Changes(ctx context.Context, since int64, wait time.Duration) (Page, error)
	// Era returns the latest era that any answer stated, also a refusal.
	Era() uint64
}

// Sink takes what was read. Its methods are called by one goroutine.
type Sink interface {
	// Listed takes the whole table.
	Listed(rows []Row)
	// Restored takes the whole table after the store came back from an older copy:
	// what was written since the copy was made may be missing.
	Restored(rows []Row)
	// Changed takes rows in the order of their changes.
	Changed(rows []Row)
	// Lost notes the first failed call after a successful one.
	Lost(cause error)
	// Regained notes the first successful call, and the first one after a failed
	// one; the rows of that call follow.
	Regained()
}

// Options configure a Follower.
type Options struct {
	Source Source
	Sink   Sink
	// Rand spreads the calls of many processes.
	Rand *rand.Rand
	// Outage is shared by the followers of one store; nil for one of its own.
	Outage *Outage
	// Gather is the pause after an answer with changes; zero means 300 ms.
	Gather time.Duration
}

// Follower follows one table.
type Follower struct {
	source Source
	sink   Sink
	rng    *rand.Rand
	outage *Outage
	gather time.Duration
	lost   bool
	// reached states that the store has answered once.
	reached bool
	// recheck makes the next call one without a wait.
	recheck bool
	// era is that of the last listing.
	era uint64
	// delivered states that the table was read once.
	delivered bool
}

// New returns a Follower.
func New(o Options) *Follower {
	f := &Follower{source: o.Source, sink: o.Sink, rng: o.Rand, outage: o.Outage, gather: o.Gather}
	if f.outage == nil {
		f.outage = NewOutage(o.Rand)
	}
	if f.gather <= 0 {
		f.gather = defaultGather
	}
	return f
}

// Serve follows the table until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	var version int64
	listed := false
	for ctx.Err() == nil {
		page, err := f.next(ctx, listed, version)
		f.outage.NoteEra(max(f.source.Era(), page.Era))
		switch {
		case err == nil && page.Era < f.outage.Era():
			// The answer was made before the store came back from its copy.
			f.succeeded()
			listed = false
			f.sleep(ctx, staleAnswerPause)
		case err == nil && listed && page.Era != f.era:
			f.succeeded()
			listed = false
		case err == nil:
			f.succeeded()
			f.deliver(page, listed)
			if listed && len(page.Rows) > 0 {
				f.sleep(ctx, f.gather)
			}
			version, listed, f.era = page.Version, true, page.Era
		case errors.Is(err, ErrHistoryGone):
			f.succeeded()
			listed = false
		case errors.Is(err, errAbandoned):
			f.recheck = true
		default:
			f.failed(ctx, err)
			f.outage.turn(ctx)
		}
		listed = listed && f.era >= f.outage.Era()
	}
	return ctx.Err()
}

func (f *Follower) next(ctx context.Context, listed bool, version int64) (Page, error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.source.List(ctx)
	}
	wait, abandoned := f.outage.waiting()
	// After a failure, a call without a wait shows soon whether the store is back.
	if f.lost || f.recheck {
		wait, f.recheck = 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	if wait == 0 {
		return f.source.Changes(ctx, version, wait)
	}
	watched, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go func() {
		select {
		case <-abandoned:
			stop(errAbandoned)
		case <-watched.Done():
		}
	}()
	page, err := f.source.Changes(watched, version, wait)
	if err != nil && context.Cause(watched) == errAbandoned {
		err = errAbandoned
	}
	return page, err
}

func (f *Follower) deliver(page Page, listed bool) {
	if !listed && f.delivered && page.Era > f.era {
		f.sink.Restored(page.Rows)
		return
	}
	f.delivered = true
	if !listed {
		f.sink.Listed(page.Rows)
		return
	}
	if len(page.Rows) > 0 {
		f.sink.Changed(page.Rows)
	}
}

func (f *Follower) succeeded() {
	if f.lost {
		f.outage.answered(time.Now())
	}
	if f.lost || !f.reached {
		f.lost, f.reached = false, true
		f.sink.Regained()
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.outage.failed(time.Now())
	if f.lost {
		return
	}
	f.lost = true
	f.sink.Lost(err)
}

// sleep waits for between three quarters of d and d.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(3*d/4 + time.Duration(f.rng.Int64N(int64(d/4))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
