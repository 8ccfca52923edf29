package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/resultcode"
	"github.com/pistachiowind/pistachiowind/storage"
)

// fakeTable is an in-memory table. An error in putFaults is returned by the next put
// of the row with that key; with ErrOutcomeUnknown the put takes effect all the same.
// The function beforePut is called once, before the next put.
type fakeTable struct {
	rows         map[string]storage.Row
	lastRevision int
	putFaults    map[string]error
	beforePut    func(key string)
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]storage.Row{}, putFaults: map[string]error{}}
}

func (f *fakeTable) Get(_ context.Context, key string) (storage.Row, error) {
	row, ok := f.rows[key]
	if !ok {
		return row, storage.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Put(_ context.Context, key string, value []byte, expected storage.Revision) (storage.Row, error) {
	if hook := f.beforePut; hook != nil {
		f.beforePut = nil
		hook(key)
	}
	fault := f.putFaults[key]
	delete(f.putFaults, key)
	if fault != nil && !errors.Is(fault, storage.ErrOutcomeUnknown) {
		return storage.Row{}, fault
	}
	if f.rows[key].Revision != expected {
		return storage.Row{}, storage.ErrConflict
	}
	f.lastRevision++
	f.rows[key] = storage.Row{Key: key, Value: value, Revision: storage.Revision(fmt.Sprint(f.lastRevision))}
	return f.rows[key], fault
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]storage.Row, string, error) {
	var rows []storage.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storage.Row) int { return strings.Compare(a.Key, b.Key) })
	if len(rows) <= limit {
		return rows, "", nil
	}
	return rows[:limit], rows[limit-1].Key, nil
}

func (f *fakeTable) DeleteBatch(_ context.Context, rows []storage.Row) error {
	for _, row := range rows {
		delete(f.rows, row.Key)
	}
	return nil
}

var (
	ctx   = context.Background()
	start = time.Unix(1_800_000_000, 0)
)

func storeWithCatalog(t *testing.T) (*Store, *fakeTable) {
	t.Helper()
	table := newFakeTable()
	s := NewStore(table)
	if _, err := s.Put(ctx, start, Change{ID: "first", By: "op", Catalog: sampleCatalog()}); err != nil {
		t.Fatal(err)
	}
	return s, table
}

func tierChange(id string, base uint64, tier int) Change {
	p := sampleCatalog().Profiles[0]
	p.Tier = tier
	return Change{ID: id, By: "op-" + id, Base: base, Profile: &p}
}

// Guards against a lost update when two operators change a profile from the same base
// version: the second change is refused with the field-by-field differences of its
// profile.
func TestSecondOperatorGetsTheDifference(t *testing.T) {
	s, _ := storeWithCatalog(t)
	if _, err := s.Put(ctx, start, tierChange("x", 1, 1)); err != nil {
		t.Fatal(err)
	}
	_, err := s.Put(ctx, start, tierChange("y", 1, 2))
	var conflict *ConflictError
	if !errors.As(err, &conflict) || resultcode.As(err).Code != resultcode.VersionConflict {
		t.Fatalf("%v, want a conflict", err)
	}
	want := Difference{Field: "profiles[urgent].tier", From: "1", To: "2"}
	if conflict.Current != 2 || conflict.By != "op-x" || !slices.Equal(conflict.Differences, []Difference{want}) {
		t.Fatalf("conflict %+v", conflict)
	}
}

// Guards against a lost update by the same race within one put: the change of another
// operator is accepted between the read and the write.
func TestOperatorsInterleave(t *testing.T) {
	s, table := storeWithCatalog(t)
	table.beforePut = func(string) {
		if _, err := s.Put(ctx, start, tierChange("x", 1, 1)); err != nil {
			t.Fatal(err)
		}
	}
	var conflict *ConflictError
	if _, err := s.Put(ctx, start, tierChange("y", 1, 2)); !errors.As(err, &conflict) {
		t.Fatalf("%v, want a conflict", err)
	}
	version, c, err := s.Load(ctx, 0)
	if err != nil || version != 2 || c.Profiles[0].Tier != 1 {
		t.Fatalf("version %d %+v %v", version, c, err)
	}
}

// Guards against a change that is applied twice because the response to its first put
// was lost and the put is repeated, also if other changes were accepted since or the
// repeated put names a newer base version.
func TestRepeatedPutIsRecognised(t *testing.T) {
	s, table := storeWithCatalog(t)
	table.putFaults[currentKey] = storage.ErrOutcomeUnknown
	if c, err := s.Put(ctx, start, tierChange("x", 1, 1)); err != nil || c.Version != 2 {
		t.Fatalf("lost response: %+v %v", c, err)
	}
	if _, err := s.Put(ctx, start, tierChange("y", 2, 2)); err != nil {
		t.Fatal(err)
	}
	for _, base := range []uint64{1, 2, 3} {
		c, err := s.Put(ctx, start.Add(time.Hour), tierChange("x", base, 1))
		if err != nil || c.Version != 2 || c.Profiles[0].Tier != 1 {
			t.Fatalf("base %d: %+v %v, want version 2", base, c, err)
		}
	}
	if version, c, err := s.Load(ctx, 0); err != nil || version != 3 || c.Profiles[0].Tier != 2 {
		t.Fatalf("version %d %+v %v, want 3 with tier 2", version, c, err)
	}
}

// staleReads serves all reads from an earlier state of the table.
type staleReads struct {
	*fakeTable
	rows fakeTable
}

func (s *staleReads) Get(ctx context.Context, key string) (storage.Row, error) {
	return s.rows.Get(ctx, key)
}

func (s *staleReads) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, string, error) {
	return s.rows.List(ctx, prefix, after, limit)
}

// Guards against a put that reports a conflict because of a lagging read although its
// change is in force.
func TestLaggingReadIsNoConflict(t *testing.T) {
	s, table := storeWithCatalog(t)
	stale := &staleReads{fakeTable: table, rows: fakeTable{rows: maps.Clone(table.rows)}}
	if _, err := s.Put(ctx, start, tierChange("x", 1, 1)); err != nil {
		t.Fatal(err)
	}
	for _, base := range []uint64{0, 2} {
		_, err := NewStore(stale).Put(ctx, start, tierChange("x", base, 1))
		if code := resultcode.As(err).Code; code != resultcode.StoreUnavailable {
			t.Fatalf("base %d: %v, want an unavailable store", base, err)
		}
	}
}

// Guards against a history that, after a crash before any of the three writes of a
// put, misses a change that came into force or lists one that never did.
func TestHistoryAfterCrash(t *testing.T) {
	rowKeys := []string{versionKey(documentPrefix, 2, "x"), versionKey(historyPrefix, 2, "x"), currentKey}
	for _, key := range rowKeys {
		s, table := storeWithCatalog(t)
		table.putFaults[key] = storage.ErrUnavailable
		table.beforePut = func(string) {}
		if _, err := s.tryPut(ctx, start, tierChange("x", 1, 1)); err == nil {
			t.Fatalf("put succeeded without row %s", key)
		}
		if _, err := s.Put(ctx, start, tierChange("y", 1, 2)); err != nil {
			t.Fatal(err)
		}
		entries, err := s.History(ctx, 10)
		if err != nil || len(entries) != 2 || entries[0].ChangeID != "y" || entries[1].ChangeID != "first" {
			t.Fatalf("history %+v %v", entries, err)
		}
		want := Difference{Field: "profiles[urgent].tier", From: "0", To: "2"}
		if e := entries[0]; e.By != "op-y" || !e.At.Equal(start) || !slices.Equal(e.Differences, []Difference{want}) {
			t.Fatalf("entry %+v", e)
		}
	}
}

// Guards against history rows and documents whose number grows without bound, and
// against pruning that removes rows that are still needed.
func TestPruningKeepsTheBounds(t *testing.T) {
	s, table := storeWithCatalog(t)
	const changes, filled = HistoryVersions + 40, HistoryVersions - 10
	fillHistory(t, table, filled)
	for v := uint64(filled); v < changes; v++ {
		if _, err := s.Put(ctx, start, tierChange(fmt.Sprint("c", v+1), v, int(v%3))); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := s.History(ctx, 2*HistoryVersions)
	if err != nil || len(entries) != HistoryVersions || entries[0].Version != changes {
		t.Fatalf("%d entries, %v", len(entries), err)
	}
	if want := 1 + HistoryVersions + keptDocuments; len(table.rows) != want {
		t.Fatalf("%d rows, want %d", len(table.rows), want)
	}
	if version, c, err := s.Load(ctx, 1); err != nil || version != changes || c == nil {
		t.Fatalf("load: %d %v", version, err)
	}
}

// fillHistory writes the rows of the versions from 2 to last into a table that has
// version 1. Only the last version has a document.
func fillHistory(t *testing.T, table *fakeTable, last uint64) {
	t.Helper()
	parent := "first"
	var value []byte
	for v := uint64(2); v <= last; v++ {
		id := fmt.Sprint("c", v)
		var err error
		if value, err = json.Marshal(HistoryEntry{Version: v, ChangeID: id, Parent: parent}); err != nil {
			t.Fatal(err)
		}
		table.rows[versionKey(historyPrefix, v, id)] = storage.Row{Key: versionKey(historyPrefix, v, id), Value: value, Revision: "f"}
		parent = id
	}
	c := sampleCatalog()
	c.Version, c.ChangeID = last, parent
	body, err := Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	table.rows[versionKey(documentPrefix, last, parent)] = storage.Row{Key: versionKey(documentPrefix, last, parent), Value: body, Revision: "f"}
	table.rows[currentKey] = storage.Row{Key: currentKey, Value: value, Revision: "f"}
}

// Guards against a polled row so large that polling exceeds the 3 KB/s of control
// traffic that each process may cause.
func TestPolledRowIsSmall(t *testing.T) {
	s, table := storeWithCatalog(t)
	many := sampleCatalog()
	for i := range maxProfiles - 2 {
		many.Profiles = append(many.Profiles, Profile{Name: fmt.Sprint("p", i)})
	}
	id := strings.Repeat("x", 64)
	if _, err := s.Put(ctx, start, Change{ID: id, By: strings.Repeat("y", maxAuthorBytes), Base: 1, Catalog: many}); err != nil {
		t.Fatal(err)
	}
	if n := len(table.rows[currentKey].Value); n > 600 {
		t.Fatalf("polled row has %d bytes", n)
	}
}

// BenchmarkAdopt decodes, validates and indexes a catalog of the planned size,
// which each process does once per change.
func BenchmarkAdopt(b *testing.B) {
	c := sampleCatalog()
	for i := range 840 {
		name := fmt.Sprint("account-", i)
		c.ClientAccounts = append(c.ClientAccounts, ClientAccount{Name: name, KeyHashes: []string{HashKey(name), HashKey(name + "b")}, DefaultProfile: "urgent"})
	}
	body, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		c, err := DecodeStored(body)
		if err != nil {
			b.Fatal(err)
		}
		NewIndex(c)
	}
	b.ReportMetric(float64(len(body)), "bytes")
}

// Guards against a put that reports a failure without effect although its change may
// be in force; it must report an unknown outcome.
func TestPutReportsUnknownOutcome(t *testing.T) {
	s, table := storeWithCatalog(t)
	broken := &unreadableAfterPut{fakeTable: table}
	_, err := NewStore(broken).Put(ctx, start, tierChange("x", 1, 1))
	e := resultcode.As(err)
	if e.Code != resultcode.WriteOutcomeUnknown || e.EffectiveExecution() != resultcode.Unknown {
		t.Fatalf("%v, want an unknown outcome", err)
	}
	if c, err := s.Put(ctx, start, tierChange("x", 1, 1)); err != nil || c.Version != 2 {
		t.Fatalf("repeated put: %+v %v", c, err)
	}
}

// unreadableAfterPut loses the response to the write of catalog/current and fails
// all later reads.
type unreadableAfterPut struct {
	*fakeTable
	failing bool
}

func (u *unreadableAfterPut) Get(ctx context.Context, key string) (storage.Row, error) {
	if u.failing {
		return storage.Row{}, storage.ErrUnavailable
	}
	return u.fakeTable.Get(ctx, key)
}

func (u *unreadableAfterPut) Put(ctx context.Context, key string, v []byte, r storage.Revision) (storage.Row, error) {
	row, err := u.fakeTable.Put(ctx, key, v, r)
	if key == currentKey {
		u.failing = true
		err = storage.ErrOutcomeUnknown
	}
	return row, err
}
