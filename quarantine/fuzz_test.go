package quarantine

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiowind/pistachiowind/oddvalue"
	"github.com/pistachiowind/pistachiowind/storage"
)

type fixedRow []byte

func (r fixedRow) Get(context.Context, string) (storage.Row, error) {
	return storage.Row{Value: r, Revision: "1"}, nil
}

func (r fixedRow) Put(context.Context, string, []byte, storage.Revision) (storage.Row, error) {
	return storage.Row{}, nil
}

// Guards against a value of the shared row that causes a panic or exceeds the bounds on
// records, and against a request that is condemned by crashes of a single endpoint.
func FuzzSharedRow(f *testing.F) {
	fp := `[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,25,26,27,28,29,30,31,32]`
	for _, seed := range []string{
		`{"records":[{"fingerprint":` + fp + `,"endpoints":["engine-1","engine-2"],"alone":true,"last":"2026-12-04T00:00:00Z"}]}`,
		`{"records":[{"fingerprint":` + fp + `,"endpoints":["engine-1","engine-1"],"alone":true,"last":"2026-12-04T00:00:00Z"}]}`,
		`{"records":[{"fingerprint":[1],"endpoints":[],"last":"9999-12-31T23:59:59Z"}]}`,
		`{"records":[{"endpoints":null}]}`, `{}`, `null`, `[`, "",
	} {
		f.Add([]byte(seed))
	}
	now := time.Date(2026, 12, 4, 0, 1, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, value []byte) {
		x := NewExchange(fixedRow(value))
		records, err := x.Read(t.Context())
		if err != nil {
			return
		}
		tracker := NewTracker()
		tracker.Merge(now, records)
		if n := len(tracker.Records(now)); n > MaxSuspects+MaxCondemned {
			t.Fatalf("%d records", n)
		}
		for _, r := range tracker.Records(now) {
			checkStatus(t, now, tracker, r)
		}
		if err := x.Publish(t.Context(), now, records); err != nil {
			t.Fatalf("publish what was read: %v", err)
		}
	})
}

func checkStatus(t *testing.T, now time.Time, tracker *Tracker, r Record) {
	if r.Last.After(now) {
		t.Fatalf("last crash is later than now: %+v", r)
	}
	distinct := len(r.Endpoints) == 2 && r.Endpoints[0] != r.Endpoints[1]
	if tracker.Status(now, r.Fingerprint) == Condemned && !(r.Alone && distinct) {
		t.Fatalf("condemned by %+v", r)
	}
}

// Guards against one odd record of the shared row that hides the others, or that keeps all
// processes from publishing evidence.
func TestOddRecordOfTheSharedRowHidesNoOther(t *testing.T) {
	const fp = `[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20,21,22,23,24,25,26,27,28,29,30,31,32]`
	sound := `{"fingerprint":` + fp + `,"endpoints":["engine-1","engine-2"],"alone":true,"last":"2026-12-04T00:00:00Z"}`
	odd := `{"fingerprint":` + strings.Replace(fp, "[1,", "[9,", 1) + `,"endpoints":["engine-3"],"alone":true,"last":"2026-12-04T00:00:00Z"}`
	now := time.Date(2026, 12, 4, 0, 1, 0, 0, time.UTC)
	for name, variant := range oddvalue.JSON(odd) {
		if strings.Count(variant, "[") != strings.Count(variant, "]") || strings.Count(variant, "{") != strings.Count(variant, "}") || variant == "\xff\x00" {
			// The row is cut off.
			if err := NewExchange(fixedRow(variant)).Publish(t.Context(), now, nil); err != nil {
				t.Errorf("%s: evidence is not published: %v", name, err)
			}
			continue
		}
		x := NewExchange(fixedRow(`{"records":[` + variant + `,` + sound + `]}`))
		records, err := x.Read(t.Context())
		if err != nil || !slices.ContainsFunc(records, func(r Record) bool { return r.Fingerprint[0] == 1 && len(r.Endpoints) == 2 }) {
			t.Errorf("%s: the record after the odd one is not known: %v", name, err)
		}
		tracker := NewTracker()
		tracker.Merge(now, records)
		if err := x.Publish(t.Context(), now, tracker.Records(now)); err != nil {
			t.Errorf("%s: evidence is not published: %v", name, err)
		}
	}
}
