package claim

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/pistachiowind/pistachiowind/storage"
)

// Guards against a row value that makes the decoder panic, that changes when it is
// encoded again, or that allows a second run: after a conflict with the row of
// another attempt, reading that row must not lead to Run.
func FuzzDecodeRecord(f *testing.F) {
	for _, seed := range []string{
		`{"format":1,"client_account":"a","service":"s","idempotency_key":"k","digest":"AQ==","agent":"x","address":"127.0.0.1:1","nonce":"n","state":"started","claimed_at":"2026-12-04T00:00:00Z"}`,
		`{"format":1,"digest":"AQ==","state":"done","outcome":{"execution":"ran","status":201,"headers":[{"name":"A","value":"b"}],"body":"e30="}}`,
		`{"format":1,"digest":"AQ==","state":"done","outcome":{"execution":"ran","object":"claim/x"}}`,
		`{"format":1,"state":"done"}`, `{"format":1,"digest":"AQ==","state":"done"}`, `{"format":1,"digest":"AQ==","state":"unknown"}`, `{"format":2,"state":"started"}`, `{}`, `null`, `[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := DecodeRecord(value)
		if err == nil {
			checkRoundTrip(t, r)
		}
		now := time.Unix(0, 0)
		c := NewClaiming(Record{Digest: []byte{1}, Agent: "self", Nonce: "own"}, now.Add(time.Second))
		c.Next(now, Event{})
		c.Next(now, Event{Err: storage.ErrConflict})
		a := c.Next(now, Event{Row: storage.Row{Value: value, Revision: "1"}})
		if a.Step == StepDecide && a.Decision.Kind == Run && r.Nonce != "own" {
			t.Fatalf("row %q of another attempt lets this one run", value)
		}
	})
}

func checkRoundTrip(t *testing.T, r Record) {
	out, err := r.Encode()
	if err != nil {
		return // a time outside the years of RFC 3339
	}
	again, err := DecodeRecord(out)
	if err != nil {
		t.Fatalf("decode what was encoded: %v", err)
	}
	if diff := cmp.Diff(r, again, cmpopts.EquateEmpty()); diff != "" {
		t.Fatal(diff)
	}
}
