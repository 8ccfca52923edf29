package versions

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
)

// storedServices is the JSON form of the designations in the store, by service.
type storedServices struct {
	Services map[string]storedService `json:"services"`
}

type storedService struct {
	Sequence   uint64       `json:"sequence"`
	Spans      []storedSpan `json:"spans"`
	DeadlineMS int64        `json:"deadline_ms,omitempty"`
}

// storedSpan is a designation since a time of the store's clock.
type storedSpan struct {
	Shares []storedShare `json:"shares"`
	FromMS int64         `json:"from_ms"`
}

type storedShare struct {
	Version string `json:"version"`
	Weight  int    `json:"weight"`
}

// Unstored reports whether the store lacks a designation.
func (t *Table) Unstored() bool {
	for _, s := range t.services {
		if s.unstored {
			return true
		}
	}
	return false
}

// Load applies the designations in the store. The value is that of Encode, or empty;
// storeTime is the time of the store's clock. It returns the changes, and an error if the
// value, or a service in it, cannot be decoded; the other services are applied all the same.
func (t *Table) Load(now time.Time, storeTime time.Duration, value []byte) ([]Change, error) {
	t.complete = true
	if len(value) == 0 {
		return nil, nil
	}
	var stored struct {
		Services map[string]json.RawMessage `json:"services"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("decode stored designations: %w", err)
	}
	var changes []Change
	var failed error
	for name, text := range stored.Services {
		var s storedService
		if err := json.Unmarshal(text, &s); err != nil {
			failed = errors.Join(failed, fmt.Errorf("decode stored designations of service %q: %w", name, err))
			continue
		}
		d := Designations{Service: name, Sequence: s.Sequence, MaxDeadline: storedMS(s.DeadlineMS), Stored: true, HeardAt: now}
		for _, span := range s.Spans {
			loaded := Span{From: now.Add(storedMS(span.FromMS) - storeTime)}
			for _, x := range span.Shares {
				loaded.Shares = append(loaded.Shares, Share(x))
			}
			d.Spans = append(d.Spans, loaded)
		}
		if c, ok := t.Record(d); ok {
			changes = append(changes, c)
		}
	}
	return changes, failed
}

// storedMS converts a stored number of milliseconds. One out of range counts as the bound.
func storedMS(n int64) time.Duration {
	const bound = math.MaxInt64 / int64(4*time.Millisecond)
	return time.Duration(max(min(n, bound), -bound)) * time.Millisecond
}

// Encode returns the recorded designations to keep in the store. They count as stored unless
// NotStored follows.
func (t *Table) Encode(now time.Time, storeTime time.Duration) ([]byte, error) {
	stored := storedServices{Services: make(map[string]storedService)}
	for name, s := range t.services {
		s.unstored = false
		if s.sequence == 0 {
			continue
		}
		entry := storedService{Sequence: s.sequence, DeadlineMS: s.maxDeadline.Milliseconds()}
		for _, span := range s.spans {
			from := int64(0)
			if !span.from.IsZero() {
				from = max((storeTime - now.Sub(span.from)).Milliseconds(), 0)
			}
			kept := storedSpan{FromMS: from}
			for _, x := range span.shares {
				kept.Shares = append(kept.Shares, storedShare(x))
			}
			entry.Spans = append(entry.Spans, kept)
		}
		stored.Services[name] = entry
	}
	return json.Marshal(stored)
}

// NotStored records that what Encode returned did not reach the store.
func (t *Table) NotStored() {
	for _, s := range t.services {
		s.unstored = s.sequence > 0
	}
}
