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

// runDueCalls makes all table calls that e has due at the time now.
func runDueCalls(e *Election, f *fakeTable, now time.Time) {
	for range 10 {
		a, ok := e.Next(now)
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
		e.HandleResult(now, a, row, err)
	}
}

func checkHeld(t *testing.T, e *Election, now time.Time, want uint64) {
	t.Helper()
	if got, _ := e.Held(now); got != want {
		t.Fatalf("at %v: held number %d, want %d", now.Sub(start), got, want)
	}
}

// Guards against two holders at a time when one of them was paused and still believes
// that it holds the lease after another process has taken it over, and against a
// fencing number that does not increase with each new holder.
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

// Guards against a validity that counts from the receipt of a response, so that two
// processes could hold the lease: it must end TTL after the renewal was sent, however
// late its response arrives.
func TestValidityCountsFromSending(t *testing.T) {
	e := NewElection("a")
	a, _ := e.Next(start)
	e.HandleResult(start, a, storage.Row{}, storage.ErrNotFound)
	a, _ = e.Next(start)
	late := start.Add(TTL)
	e.HandleResult(late, a, storage.Row{Revision: "1"}, nil)
	checkHeld(t, e, late, 0)
	checkHeld(t, e, late.Add(-1), 1)
}

// Guards against a lost response to a renewal that costs the lease, although the
// process reads the row and finds its own write, and against a write that took effect
// late and that the process does not know, which makes the lease valid before it is
// renewed.
func TestLostAnswerOfRenewal(t *testing.T) {
	f := &fakeTable{}
	e := NewElection("a")
	runDueCalls(e, f, start)
	now := start.Add(RenewInterval)
	f.setFault(storage.ErrOutcomeUnknown)
	runDueCalls(e, f, now)
	f.setFault(nil)
	runDueCalls(e, f, now.Add(time.Second))
	checkHeld(t, e, now.Add(TTL-1), 1)
	checkHeld(t, e, now.Add(TTL), 0)

	// The row names the process but holds a write that it does not know.
	value, err := json.Marshal(Record{Format: recordFormat, Holder: "a", Number: 1, Renewal: 9})
	if err != nil {
		t.Fatal(err)
	}
	f.row = &storage.Row{Value: value, Revision: "late"}
	now = now.Add(time.Hour)
	a, _ := e.Next(now)
	e.HandleResult(now, a, storage.Row{}, storage.ErrConflict)
	a, _ = e.Next(now)
	e.HandleResult(now, a, *f.row, nil)
	checkHeld(t, e, now, 0)
	runDueCalls(e, f, now)
	checkHeld(t, e, now, 1)
}

// Guards against a loop that lets its lease expire although the table responds, still
// holds it when the table has been down for TTL, does not renew it after the outage,
// or does not release the row on resignation, so that others wait for it to expire.
func TestElector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakeTable{}
		e := NewElector(Options{Table: f, Name: "x", Self: "a"})
		done := make(chan error)
		go func() { done <- e.Serve(ctx) }()
		for range 100 {
			time.Sleep(time.Second)
			if n, ok := e.Held(); !ok || n != 1 {
				t.Fatal("lease expired although the table responds")
			}
		}
		f.setFault(storage.ErrUnavailable)
		time.Sleep(TTL)
		if _, ok := e.Held(); ok {
			t.Fatal("lease held for longer than TTL during an outage")
		}
		f.setFault(nil)
		time.Sleep(2 * time.Second)
		if n, ok := e.Held(); !ok || n != 1 {
			t.Fatal("lease not renewed after the outage")
		}
		e.Resign()
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

// Guards against a lease that is valid at once although its write took effect in a restored
// store, while the holder that the copy lacks still acts, against a restart or a release after
// which a process competes within TTL, and against a token of the earlier era.
func TestCoolDown(t *testing.T) {
	times := Times{TTL: 3 * time.Second, Margin: 600 * time.Millisecond, Renew: time.Second, Observe: time.Second, CoolDown: true}
	f := &fakeTable{}
	e := NewElectionWith("a", times)
	runDueCalls(e, f, start)
	now := start.Add(3600*time.Millisecond - 1)
	runDueCalls(e, f, now)
	checkHeld(t, e, now, 0)
	if f.row != nil {
		t.Fatal("process competes at its start")
	}
	now = now.Add(2 * time.Second)
	f.setFault(storage.ErrOutcomeUnknown)
	runDueCalls(e, f, now)
	f.setFault(nil)
	f.row.Era = 1
	now = now.Add(time.Second)
	runDueCalls(e, f, now)
	checkHeld(t, e, now, 0)
	settled := now.Add(3600 * time.Millisecond)
	for ; now.Before(settled); now = now.Add(200 * time.Millisecond) {
		runDueCalls(e, f, now)
		checkHeld(t, e, now, 0)
	}
	for range 6 {
		now = now.Add(200 * time.Millisecond)
		runDueCalls(e, f, now)
	}
	if l, ok := e.Current(now); !ok || l.Number != 1 || l.Era != 1 {
		t.Fatalf("lease %+v %v after the era is settled", l, ok)
	}
	// Another process takes over and releases; a waits from the end of its own lease.
	last, _ := e.Current(now)
	f.row = &storage.Row{Value: []byte(`{"format":1,"number":2}`), Revision: "b", Era: 1}
	for ; now.Before(last.ValidUntil.Add(3600 * time.Millisecond)); now = now.Add(200 * time.Millisecond) {
		runDueCalls(e, f, now)
		if l, ok := e.Current(now); ok && l.Number != 1 {
			t.Fatalf("lease %+v within the cool-down", l)
		}
	}
}
