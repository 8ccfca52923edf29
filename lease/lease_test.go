package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/storage"
)

var start = time.Unix(1_800_000_000, 0)

type fakeTable struct {
	mu           sync.Mutex
	row          *storage.Row
	lastRevision int
	fault        error
}

func (f *fakeTable) setFault(fault error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

func (f *fakeTable) Get(context.Context, string) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault != nil {
		return storage.Row{}, storage.ErrUnavailable
	}
	if f.row == nil {
		return storage.Row{}, storage.ErrNotFound
	}
	return *f.row, nil
}

// Put with the fault storage.ErrOutcomeUnknown takes effect and returns the error;
// with any other fault it has no effect.
func (f *fakeTable) Put(_ context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault != nil && f.fault != storage.ErrOutcomeUnknown {
		return storage.Row{}, f.fault
	}
	if f.row == nil && expected != "" || f.row != nil && f.row.Revision != expected {
		return storage.Row{}, storage.ErrConflict
	}
	f.lastRevision++
	f.row = &storage.Row{Key: key, Value: value, Revision: storage.Revision(fmt.Sprint(f.lastRevision))}
	return *f.row, f.fault
}

// runDueCalls makes all table calls that l has due at the time now.
func runDueCalls(l *Election, f *fakeTable, now time.Time) {
	for range 10 {
		a, ok := l.Next(now)
		if !ok {
			return
		}
		var row storage.Row
		var err error
		if a.Write {
			row, err = f.Put(context.Background(), "lease/x", a.Value, a.Expected)
		} else {
			row, err = f.Get(context.Background(), "lease/x")
		}
		l.HandleResult(now, a, row, err)
	}
}

func checkHeld(t *testing.T, l *Election, now time.Time, want uint64) {
	t.Helper()
	if got, _ := l.Held(now); got != want {
		t.Fatalf("at %v: held number %d, want %d", now.Sub(start), got, want)
	}
}

// A paused holder must have lost the lease before another process takes it over,
// and the fencing number must increase with each new holder.
func TestTakeoverAfterPause(t *testing.T) {
	f := &fakeTable{}
	a, b := NewElection("a"), NewElection("b")
	runDueCalls(a, f, start)
	checkHeld(t, a, start, 1)
	for s := range 60 {
		now := start.Add(time.Duration(s) * time.Second)
		if s < 20 {
			runDueCalls(a, f, now)
		}
		runDueCalls(b, f, now)
		_, heldA := a.Held(now)
		_, heldB := b.Held(now)
		if heldA && heldB {
			t.Fatalf("two holders after %d s", s)
		}
	}
	now := start.Add(time.Minute)
	checkHeld(t, b, now, 2)
	runDueCalls(a, f, now)
	checkHeld(t, a, now, 0)
	b.Resign(now)
	runDueCalls(b, f, now)
	checkHeld(t, b, now, 0)
	runDueCalls(a, f, now.Add(ObserveInterval))
	checkHeld(t, a, now.Add(ObserveInterval), 3)
}

// The validity must end TTL after the renewal was sent, however late its response
// arrives. Counted from the response, two processes could hold the lease.
func TestValidityCountsFromSending(t *testing.T) {
	l := NewElection("a")
	a, _ := l.Next(start)
	l.HandleResult(start, a, storage.Row{}, storage.ErrNotFound)
	a, _ = l.Next(start)
	late := start.Add(TTL)
	l.HandleResult(late, a, storage.Row{Revision: "1"}, nil)
	checkHeld(t, l, late, 0)
	checkHeld(t, l, late.Add(-1), 1)
}

// A lost response to a renewal must not cost the lease: the process reads the row
// and finds its own write. A write that took effect late and that the process does
// not know must not make the lease valid until it is renewed.
func TestLostAnswerOfRenewal(t *testing.T) {
	f := &fakeTable{}
	l := NewElection("a")
	runDueCalls(l, f, start)
	now := start.Add(RenewInterval)
	f.setFault(storage.ErrOutcomeUnknown)
	runDueCalls(l, f, now)
	f.setFault(nil)
	runDueCalls(l, f, now.Add(time.Second))
	checkHeld(t, l, now.Add(TTL-1), 1)
	checkHeld(t, l, now.Add(TTL), 0)

	// The row names the process but holds a write that it does not know.
	value, err := json.Marshal(Record{Format: recordFormat, Holder: "a", Number: 1, Renewal: 9})
	if err != nil {
		t.Fatal(err)
	}
	f.row = &storage.Row{Value: value, Revision: "late"}
	now = now.Add(time.Hour)
	a, _ := l.Next(now)
	l.HandleResult(now, a, storage.Row{}, storage.ErrConflict)
	a, _ = l.Next(now)
	l.HandleResult(now, a, *f.row, nil)
	checkHeld(t, l, now, 0)
	runDueCalls(l, f, now)
	checkHeld(t, l, now, 1)
}

// The loop must renew the lease in time, stop holding it when the table is down for
// longer than TTL, renew it after the outage, and release the row on resignation so
// that others do not wait for it to expire.
func TestCompetitor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeTable{}
		c := NewElector(Options{Table: f, Name: "x", Self: "a"})
		done := make(chan error)
		go func() { done <- c.Serve(ctx) }()
		for range 100 {
			time.Sleep(time.Second)
			if n, ok := c.Held(); !ok || n != 1 {
				t.Fatal("lease expired although the table answers")
			}
		}
		f.setFault(storage.ErrUnavailable)
		time.Sleep(TTL)
		if _, ok := c.Held(); ok {
			t.Fatal("lease held for longer than TTL during an outage")
		}
		f.setFault(nil)
		time.Sleep(2 * time.Second)
		if n, ok := c.Held(); !ok || n != 1 {
			t.Fatal("lease not renewed after the outage")
		}
		c.Resign()
		time.Sleep(2 * time.Second)
		row, err := f.Get(ctx, "")
		if err != nil {
			t.Fatal(err)
		}
		if r, err := Decode(row.Value); err != nil || r.Holder != "" {
			t.Fatalf("row %+v %v after leaving", r, err)
		}
		cancel()
		<-done
	})
}
