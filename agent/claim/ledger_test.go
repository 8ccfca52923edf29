package claim

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/rpc"
	"github.com/pistachiowind/pistachiowind/storage"
)

// fakeStore is the table, the object store and the Owners of the agents of a test.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]storage.Row
	objects map[string][]byte
	serial  int
	down    bool
	// loseNextAnswer makes the next Put take effect and return ErrOutcomeUnknown.
	loseNextAnswer bool
	agents         map[string]*Ledger
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]storage.Row{}, objects: map[string][]byte{}, agents: map[string]*Ledger{}}
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) Get(_ context.Context, key string) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	switch {
	case f.down:
		return row, storage.ErrUnavailable
	case !ok:
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (f *fakeStore) Put(_ context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return storage.Row{}, storage.ErrUnavailable
	}
	if f.rows[key].Revision != expected {
		return storage.Row{}, storage.ErrConflict
	}
	f.serial++
	f.rows[key] = storage.Row{Key: key, Value: value, Revision: storage.Revision(fmt.Sprint(f.serial))}
	if f.loseNextAnswer {
		f.loseNextAnswer = false
		return storage.Row{}, storage.ErrOutcomeUnknown
	}
	return f.rows[key], nil
}

func (f *fakeStore) List(_ context.Context, prefix, _ string, _ int) ([]storage.Row, string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []storage.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, "", nil
}

func (f *fakeStore) DeleteBatch(_ context.Context, rows []storage.Row) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		if f.rows[row.Key].Revision != row.Revision {
			return storage.ErrConflict
		}
	}
	for _, row := range rows {
		delete(f.rows, row.Key)
	}
	return nil
}

type fakeObjects struct{ *fakeStore }

func (f fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if body, ok := f.objects[key]; ok {
		return body, nil
	}
	return nil, storage.ErrNotFound
}

func (f fakeObjects) Put(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[key] = value
	return nil
}

func (f fakeObjects) Delete(_ context.Context, key string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.objects, key)
	return nil
}

func (f *fakeStore) ClaimStatus(ctx context.Context, address, agent, nonce string) (Status, *Outcome, error) {
	f.mu.Lock()
	l := f.agents[address]
	f.mu.Unlock()
	if l == nil {
		return StatusUnknown, nil, errors.New("no agent at the address")
	}
	resp, err := l.ClaimStatus(ctx, &rpc.ClaimStatusRequest{Agent: agent, Nonce: nonce})
	if err != nil {
		return StatusUnknown, nil, err
	}
	return ParseStatus(resp)
}

// agent starts a ledger at the address and replaces the previous one there.
func (f *fakeStore) agent(t *testing.T, address, incarnation string) *Ledger {
	l := New(Options{Table: f, Objects: fakeObjects{f}, Owners: f, Agent: incarnation, Address: address})
	f.set(func() { f.agents[address] = l })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l
}

func claimOnce(t *testing.T, l *Ledger, nonce string) Decision {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return l.Claim(ctx, testKey, []byte("d"), nonce)
}

func expect(t *testing.T, d Decision, want string) {
	t.Helper()
	if got := describeDecision(d); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}

// Guards against losing or changing an answer between the run and a later call with
// the same key, for bodies in the row and in the object store, and against rows and
// objects that remain after their retention.
func TestAnswerIsReplayedAndDeleted(t *testing.T) {
	for _, size := range []int{10, InlineBytes + 1} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeStore()
			a, b := f.agent(t, "1", "a1"), f.agent(t, "2", "b1")
			expect(t, claimOnce(t, a, "n1"), "run")
			answer := Outcome{
				Execution: resultcode.Ran, Status: 201, Body: bytes.Repeat([]byte("x"), size),
				Headers: []Header{{"Set-Cookie", "1"}, {"Set-Cookie", "2"}},
			}
			a.Finish("n1", answer)
			d := claimOnce(t, b, "n2")
			expect(t, d, "replay 201")
			if !bytes.Equal(d.Outcome.Body, answer.Body) || !slices.Equal(d.Outcome.Headers, answer.Headers) {
				t.Fatal("replayed answer differs")
			}
			if err := a.Flush(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.agent(t, "1", "a2")
			d = claimOnce(t, b, "n3")
			expect(t, d, "replay 201")
			if !bytes.Equal(d.Outcome.Body, answer.Body) || !slices.Equal(d.Outcome.Headers, answer.Headers) {
				t.Fatal("answer replayed from the row differs")
			}
			time.Sleep(Retention + 2*batchDelay)
			f.set(func() {
				if len(f.rows)+len(f.objects) != 0 {
					t.Fatalf("%d rows and %d objects left", len(f.rows), len(f.objects))
				}
			})
		})
	}
}

// Guards against a replayed answer whose body broke off on the way from the object store and
// that looks complete.
func TestTruncatedBodyIsNotReplayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		a, b := f.agent(t, "1", "a1"), f.agent(t, "2", "b1")
		expect(t, claimOnce(t, a, "n1"), "run")
		a.Finish("n1", Outcome{Execution: resultcode.Ran, Status: 200, Body: bytes.Repeat([]byte("x"), InlineBytes+1)})
		if err := a.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		whole := map[string][]byte{}
		f.set(func() {
			for key, body := range f.objects {
				whole[key], f.objects[key] = body, body[:len(body)/2]
			}
		})
		f.agent(t, "1", "a2")
		expect(t, claimOnce(t, b, "n2"), "ran store_unavailable")
		f.set(func() { f.objects = whole })
		expect(t, claimOnce(t, b, "n3"), "replay 200")
	})
}

// Guards against a key that stays blocked after an attempt that certainly did not
// run, because of a store outage or of a refusal by the endpoint, and against a
// second run after an endpoint failed when it may have run the request.
func TestNeverRunIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		a, b := f.agent(t, "1", "a1"), f.agent(t, "2", "b1")
		f.set(func() { f.loseNextAnswer = true })
		// The create takes effect, its answer is lost, and the read fails.
		a.opts.Table = &downAfterPut{fakeStore: f}
		expect(t, claimOnce(t, a, "n1"), "not_run store_unavailable")
		f.set(func() { f.down = false })
		expect(t, claimOnce(t, b, "n2"), "run")
		b.Finish("n2", Outcome{Execution: resultcode.NotRun})
		if err := b.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		expect(t, claimOnce(t, b, "n3"), "run")
		expect(t, claimOnce(t, b, "n3"), "unknown duplicate_attempt")
		b.Finish("n3", Outcome{Execution: resultcode.Unknown})
		expect(t, claimOnce(t, b, "n4"), "unknown outcome_unknown")
		if err := b.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		expect(t, claimOnce(t, b, "n5"), "unknown outcome_unknown")
	})
}

type downAfterPut struct{ *fakeStore }

func (d *downAfterPut) Put(ctx context.Context, key string, v []byte, r storage.Revision) (storage.Row, error) {
	row, err := d.fakeStore.Put(ctx, key, v, r)
	d.set(func() { d.down = true })
	return row, err
}

// Guards against losing an outcome when the store is down after the run or when the
// response to its write is lost, and against a second run in the meantime.
func TestOutcomeIsSavedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		a, b := f.agent(t, "1", "a1"), f.agent(t, "2", "b1")
		expect(t, claimOnce(t, a, "n1"), "run")
		f.set(func() { f.down = true })
		a.Finish("n1", Outcome{Execution: resultcode.Ran, Status: 200})
		time.Sleep(time.Hour)
		if a.Unsaved() != 1 {
			t.Fatalf("%d unsaved", a.Unsaved())
		}
		expect(t, claimOnce(t, b, "n2"), "not_run store_unavailable")
		f.set(func() { f.down, f.loseNextAnswer = false, true })
		time.Sleep(2 * maxSaveDelay)
		if a.Unsaved() != 0 || a.Lost() != 0 {
			t.Fatalf("%d unsaved, %d lost", a.Unsaved(), a.Lost())
		}
		expect(t, claimOnce(t, b, "n3"), "replay 200")
	})
}

// Guards against a second run after the owner restarted during the first one, and
// after the owner no longer answers at its address.
func TestOwnerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		a, b := f.agent(t, "1", "a1"), f.agent(t, "2", "b1")
		expect(t, claimOnce(t, a, "n1"), "run")
		expect(t, claimOnce(t, b, "n2"), "unknown key_in_progress")
		f.set(func() { delete(f.agents, "1") })
		expect(t, claimOnce(t, b, "n3"), "unknown outcome_unknown")
		f.agent(t, "1", "a2")
		expect(t, claimOnce(t, b, "n4"), "unknown outcome_unknown")
	})
}

// Guards against rows of ended processes that remain in the table.
func TestSweepFindsRowsOfEndedProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		r := Record{Key: testKey, Nonce: "old", State: RecordStarted, ClaimedAt: time.Now()}
		f.rows[r.RowKey()] = row(t, r)
		f.agent(t, "1", "a1")
		time.Sleep(sweepAge - time.Minute)
		f.set(func() {
			if len(f.rows) != 1 {
				t.Fatal("deleted before the retention")
			}
		})
		time.Sleep(2*SweepInterval + 2*batchDelay)
		f.set(func() {
			if len(f.rows) != 0 {
				t.Fatal("row not deleted")
			}
		})
	})
}
