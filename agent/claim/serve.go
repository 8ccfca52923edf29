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
	// SweepInterval is the mean time between two pages of the sweep. With 600
	// agents it visits 125 rows per second of the site.
	SweepInterval = 2 * time.Minute

	// idleWake bounds the wait for the next deletion or sweep.
	idleWake = 15 * time.Second
	minWake  = 10 * time.Millisecond
)

// sweep decides when and where the next page of rows is read. Pages start at
// random positions, so that agents need not agree on shares.
type sweep struct {
	rand *rand.Rand
	due  time.Time
}

func newSweep(seed uint64, now time.Time) sweep {
	s := sweep{rand: rand.New(rand.NewPCG(seed, seed))}
	s.plan(now)
	return s
}

func (s *sweep) plan(now time.Time) {
	s.due = now.Add(SweepInterval/2 + time.Duration(s.rand.Int64N(int64(SweepInterval))))
}

// next returns the position after which to read a page; false if none is due.
func (s *sweep) next(now time.Time) (after string, ok bool) {
	if now.Before(s.due) {
		return "", false
	}
	s.plan(now)
	return fmt.Sprintf("%s%016x", rowPrefix, s.rand.Uint64()), true
}

// work is what the loop starts at one time.
type work struct {
	saves []Save
	batch *Batch
	// after is the position of a page to sweep, empty for none.
	after string
	pause time.Duration
}

// Serve saves outcomes and deletes rows after their retention until ctx ends.
func (l *Ledger) Serve(ctx context.Context) error {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		w := l.next()
		for _, s := range w.saves {
			open.Go(func() { l.save(ctx, s) })
		}
		if w.batch != nil {
			open.Go(func() { l.delete(ctx, *w.batch) })
		}
		if w.after != "" {
			open.Go(func() { l.sweepPage(ctx, w.after) })
		}
		timer := time.NewTimer(w.pause)
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

func (l *Ledger) next() work {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Now()
	w := work{saves: l.outbox.Next(now), pause: idleWake}
	if b, ok := l.deletions.Next(now); ok {
		w.batch = &b
	}
	if after, ok := l.sweep.next(now); ok {
		w.after = after
	}
	if wake, ok := l.outbox.Wake(); ok {
		w.pause = min(idleWake, max(minWake, wake.Sub(now)))
	}
	return w
}

func (l *Ledger) save(ctx context.Context, s Save) {
	var row storage.Row
	var err error
	switch s.Step {
	case SaveObject:
		err = l.o.Objects.Put(ctx, s.Object, s.Body)
	case SaveRow:
		row, err = l.o.Table.Put(ctx, s.RowKey, s.Value, s.Expected)
	case SaveRead:
		row, err = l.o.Table.Get(ctx, s.RowKey)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Now()
	if saved, done := l.outbox.Result(now, s, row, err); done {
		l.memory.Saved(saved.Nonce)
		if saved.Lost {
			l.lost++
		} else if saved.Row.Revision != "" {
			l.deletions.Keep(now, saved.Row, saved.Object)
		}
	}
	close(l.progress)
	l.progress = make(chan struct{})
	l.signal()
}

func (l *Ledger) delete(ctx context.Context, b Batch) {
	for _, object := range b.Objects {
		// A body that stays behind costs space only; its row names it no longer.
		_ = l.o.Objects.Delete(ctx, object)
	}
	err := l.o.Table.DeleteBatch(ctx, b.Rows)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deletions.Result(l.o.Now(), b, err)
	l.signal()
}

func (l *Ledger) sweepPage(ctx context.Context, after string) {
	rows, _, err := l.o.Table.List(ctx, rowPrefix, after, storage.MaxDeleteRows)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		l.deletions.Expired(l.o.Now(), row)
	}
}
