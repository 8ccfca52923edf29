package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

const (
	// SweepInterval is the mean time between two pages that one agent sweeps. 600
	// agents together read 125 rows per second.
	SweepInterval = 2 * time.Minute

	// maxServeWait bounds how late Serve notices that a deletion or a page of the
	// sweep is due.
	maxServeWait = 15 * time.Second
	minServeWait = 10 * time.Millisecond
)

// sweep decides when and where the next page of rows is read. Pages start at random
// positions, so that agents need not divide the rows among them.
type sweep struct {
	rand *rand.Rand
	due  time.Time
}

func newSweep(seed uint64, now time.Time) sweep {
	s := sweep{rand: rand.New(rand.NewPCG(seed, seed))}
	s.schedule(now)
	return s
}

// schedule sets the time of the next page, random around SweepInterval.
func (s *sweep) schedule(now time.Time) {
	s.due = now.Add(SweepInterval/2 + time.Duration(s.rand.Int64N(int64(SweepInterval))))
}

// next returns the row key after which to read a page; false if none is due.
func (s *sweep) next(now time.Time) (after string, ok bool) {
	if now.Before(s.due) {
		return "", false
	}
	s.schedule(now)
	return fmt.Sprintf("%s%016x", rowPrefix, s.rand.Uint64()), true
}

// dueWork is the work that Serve starts now, and how long it waits afterwards.
type dueWork struct {
	saves []Save
	batch *Batch
	// sweepAfter is the row key after which to sweep a page; empty for none.
	sweepAfter string
	wait       time.Duration
}

// Serve saves outcomes and deletes rows after their retention until ctx ends. It
// returns after the operations that it has started.
func (l *Ledger) Serve(ctx context.Context) error {
	var background sync.WaitGroup
	defer background.Wait()
	for {
		w := l.nextWork()
		for _, s := range w.saves {
			background.Go(func() { l.save(ctx, s) })
		}
		if w.batch != nil {
			background.Go(func() { l.delete(ctx, *w.batch) })
		}
		if w.sweepAfter != "" {
			background.Go(func() { l.sweepPage(ctx, w.sweepAfter) })
		}
		timer := time.NewTimer(w.wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-l.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (l *Ledger) nextWork() dueWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	w := dueWork{saves: l.outbox.Next(now), wait: maxServeWait}
	if b, ok := l.deletions.Next(now); ok {
		w.batch = &b
	}
	if after, ok := l.sweep.next(now); ok {
		w.sweepAfter = after
	}
	if wake, ok := l.outbox.NextDue(); ok {
		w.wait = min(maxServeWait, max(minServeWait, wake.Sub(now)))
	}
	return w
}

func (l *Ledger) save(ctx context.Context, s Save) {
	var row storage.Row
	var err error
	switch s.Step {
	case SaveObject:
		err = l.opts.Objects.Put(ctx, s.Object, s.Body)
	case SaveRow:
		row, err = l.opts.Table.Put(ctx, s.RowKey, s.Value, s.Expected)
	case SaveRead:
		row, err = l.opts.Table.Get(ctx, s.RowKey)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if saved, done := l.outbox.Result(now, s, row, err); done {
		l.nonces.Saved(saved.Nonce)
		if saved.Lost {
			l.lostOutcomes++
		} else if saved.Row.Revision != "" {
			l.deletions.PlanAfterRetention(now, saved.Row, saved.Object)
		}
	}
	close(l.saveProgress)
	l.saveProgress = make(chan struct{})
	l.wakeServe()
}

func (l *Ledger) delete(ctx context.Context, b Batch) {
	for _, object := range b.Objects {
		// The error is ignored: once the row is deleted nothing refers to the object,
		// and one that remains only takes up space.
		_ = l.opts.Objects.Delete(ctx, object)
	}
	err := l.opts.Table.DeleteBatch(ctx, b.Rows)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deletions.Result(l.opts.Now(), b, err)
	l.wakeServe()
}

// sweepPage plans the deletion of the expired rows of one page. After an error it
// does nothing; a later sweep reads the rows.
func (l *Ledger) sweepPage(ctx context.Context, after string) {
	rows, _, err := l.opts.Table.List(ctx, rowPrefix, after, storage.MaxDeleteRows)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		l.deletions.PlanExpired(l.opts.Now(), row)
	}
}
