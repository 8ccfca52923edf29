package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

var (
	start   = time.Unix(1_800_000_000, 0)
	testKey = Key{ClientAccount: "a", Service: "ledger", IdempotencyKey: "k"}
)

func row(t *testing.T, r Record) storage.Row {
	t.Helper()
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return storage.Row{Key: r.RowKey(), Value: value, Revision: "7"}
}

// Guards against a wrong step or decision after any answer of the table or of the
// owner: a second run, or not_run although an earlier attempt may have run.
func TestClaimingSteps(t *testing.T) {
	own := Record{Key: testKey, Digest: []byte("d"), Agent: "x", Nonce: "n1", State: RecordStarted}
	other := own
	other.Nonce, other.Agent = "n2", "y"
	with := func(r Record, state RecordState) Event {
		r.State = state
		if state == RecordDone {
			r.Outcome = &Outcome{Execution: resultcode.Ran, Status: 201}
		}
		return Event{Row: row(t, r)}
	}
	foreignDigest := other
	foreignDigest.Digest = []byte("e")
	conflict, lost := Event{Err: storage.ErrConflict}, Event{Err: storage.ErrOutcomeUnknown}
	down, absent, ok := Event{Err: storage.ErrUnavailable}, Event{Err: storage.ErrNotFound}, Event{Row: storage.Row{Revision: "1"}}
	cases := []struct {
		name   string
		events []Event
		want   string
	}{
		{"created", []Event{ok}, "run"},
		{"store down", []Event{down}, "not_run store_unavailable"},
		{"call rejected", []Event{{Err: storage.ErrRejected}}, "not_run store_unavailable"},
		{"answer lost, own row", []Event{lost, with(own, RecordStarted)}, "run"},
		{"answer lost, no row, created again", []Event{lost, absent, ok}, "run"},
		{"answer lost, store down", []Event{lost, down}, "not_run store_unavailable"},
		{"answers always lost", []Event{lost, absent, lost, absent, lost, absent}, "not_run store_unavailable"},
		{"answer lost, late write", []Event{lost, absent, conflict, with(own, RecordStarted)}, "run"},
		{"other, store down", []Event{conflict, down}, "unknown store_unavailable"},
		{"other digest", []Event{conflict, with(foreignDigest, RecordDone)}, "not_run idempotency_key_reused"},
		{"done", []Event{conflict, with(other, RecordDone)}, "replay 201"},
		{"recorded as unknown", []Event{conflict, with(other, RecordUnknown)}, "unknown outcome_unknown"},
		{"released", []Event{conflict, with(other, RecordReleased), ok}, "run"},
		{"owner never ran it", []Event{conflict, with(other, RecordStarted), {Status: StatusNeverRun}, ok}, "run"},
		{"takeover lost to a third", []Event{conflict, with(other, RecordStarted), {Status: StatusNeverRun}, conflict,
			with(other, RecordDone)}, "replay 201"},
		{"takeover answer lost", []Event{conflict, with(other, RecordStarted), {Status: StatusNeverRun}, lost,
			with(own, RecordStarted)}, "run"},
		{"owner restarted", []Event{conflict, with(other, RecordStarted), {Status: StatusUnknown}}, "unknown outcome_unknown"},
		{"owner still running, then done", []Event{conflict, with(other, RecordStarted), {Status: StatusRunning}, {},
			with(other, RecordDone)}, "replay 201"},
		{"owner has the answer", []Event{conflict, with(other, RecordStarted),
			{Status: StatusDone, Outcome: &Outcome{Execution: resultcode.Ran, Status: 202}}}, "replay 202"},
		{"owner silent", []Event{conflict, with(other, RecordStarted), down, {}, with(other, RecordStarted), down, {},
			with(other, RecordStarted), down}, "unknown outcome_unknown"},
		{"malformed row", []Event{conflict, {Row: storage.Row{Value: []byte("{}")}}}, "unknown outcome_unknown"},
		{"cancelled", []Event{conflict, {Cancelled: true, Row: row(t, other)}}, "unknown key_in_progress"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := decide(t, own, c.events); got != c.want {
				t.Fatalf("got %q, want %q", got, c.want)
			}
		})
	}
}

// decide passes the events to a Claiming; the last one must lead to a decision.
func decide(t *testing.T, own Record, events []Event) string {
	t.Helper()
	claiming := NewClaiming(own, start.Add(time.Minute))
	a := claiming.Next(start, Event{})
	for i, e := range events {
		if a.Step == StepDecide {
			t.Fatalf("decided %q before event %d", describeDecision(a.Decision), i)
		}
		a = claiming.Next(start, e)
	}
	return describeDecision(a.Decision)
}

func describeDecision(d Decision) string {
	switch d.Kind {
	case Run:
		return "run"
	case Replay:
		return fmt.Sprint("replay ", d.Outcome.Status)
	case Refuse:
		return fmt.Sprint(d.Refusal.EffectiveExecution(), " ", d.Refusal.Code)
	}
	return "undecided"
}

// Guards against waiting for another attempt after the deadline.
func TestClaimingStopsAtTheDeadline(t *testing.T) {
	other := Record{Key: testKey, Digest: []byte("d"), Agent: "y", Nonce: "n2", State: RecordStarted}
	c := NewClaiming(Record{Key: testKey, Digest: []byte("d"), Nonce: "n1"}, start.Add(10*time.Second))
	now := start
	a := c.Next(now, Event{})
	for range 1000 {
		var e Event
		switch a.Step {
		case StepDecide:
			if got := describeDecision(a.Decision); got != "unknown key_in_progress" || now.Before(start.Add(10*time.Second)) {
				t.Fatalf("%q after %v", got, now.Sub(start))
			}
			return
		case StepCreate:
			e.Err = storage.ErrConflict
		case StepRead:
			e.Row = row(t, other)
		case StepAskOwner:
			e.Status = StatusRunning
		case StepPause:
			now = now.Add(a.Pause)
		}
		a = c.Next(now, e)
	}
	t.Fatal("no decision")
}

// Guards against a common row of keys of different accounts or services, or of keys
// whose parts differ but join to the same text.
func TestRowKeysAreScoped(t *testing.T) {
	keys := []Key{{"a", "b", "c"}, {"b", "a", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"a", "b", "C"}, {"a/b", "", "c"}}
	seen := map[string]Key{}
	for _, k := range keys {
		if first, ok := seen[k.RowKey()]; ok {
			t.Fatalf("%v and %v share a row", first, k)
		}
		seen[k.RowKey()] = k
	}
}

// Guards against dropping nonces below the bound, and against reporting a dropped
// nonce as never run.
func TestMemoryIsBounded(t *testing.T) {
	r := NewNonceRegistry()
	for i := range MaxEndedNonces + 1 {
		r.Begin(fmt.Sprint(i))
		r.Refused(fmt.Sprint(i))
	}
	if s, _ := r.Status("0"); s != StatusUnknown {
		t.Fatalf("oldest nonce has status %d", s)
	}
	if s, _ := r.Status("1"); s != StatusNeverRun {
		t.Fatalf("second nonce has status %d", s)
	}
	for i := range MaxOpenClaims {
		if !r.Begin(fmt.Sprint("open", i)) {
			t.Fatalf("refused open claim %d", i)
		}
	}
	if r.Begin("one more") || r.Begin("1") {
		t.Fatal("accepted a claim beyond the bound or a used nonce")
	}
}

// Guards against more transactions than needed, rows deleted before their retention
// has passed, and a changed row that prevents the deletion of its whole batch.
func TestDeletions(t *testing.T) {
	d := &Deletions{}
	for i := range storage.MaxDeleteRows + 5 {
		d.PlanAfterRetention(start.Add(time.Duration(i)*time.Second), storage.Row{Key: fmt.Sprint(i)}, "")
	}
	if _, ok := d.Next(start.Add(Retention - 1)); ok {
		t.Fatal("deleted before the retention")
	}
	now := start.Add(Retention + time.Minute)
	b, ok := d.Next(now)
	if !ok || len(b.Rows) != storage.MaxDeleteRows {
		t.Fatalf("batch of %d rows", len(b.Rows))
	}
	if _, ok := d.Next(now); ok {
		t.Fatal("second batch while one is open")
	}
	d.Result(now, b, storage.ErrConflict)
	for i := range storage.MaxDeleteRows {
		b, ok := d.Next(now)
		if !ok || len(b.Rows) != 1 {
			t.Fatalf("retry %d has %d rows", i, len(b.Rows))
		}
		d.Result(now, b, storage.ErrNotFound)
	}
	if _, ok := d.Next(now); ok {
		t.Fatal("small batch deleted without delay")
	}
	if b, ok := d.Next(now.Add(batchDelay)); !ok || len(b.Rows) != 5 {
		t.Fatalf("rest of %d rows", len(b.Rows))
	}
}
