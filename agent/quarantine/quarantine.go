// Package quarantine finds the requests that crash endpoints. A crash makes all
// requests that were running there suspects; a suspect runs apart from other
// work, so that a second crash shows which of them is the cause and takes
// nothing else with it. The package is single-threaded: the caller serialises
// the calls and passes the time.
package quarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxSuspects and MaxCondemned bound the table to 1,024 fingerprints. They
	// are separate, so that the many suspects of a few crashes do not drop a
	// condemned fingerprint. At the bound the oldest is dropped.
	MaxSuspects  = 512
	MaxCondemned = 512

	// Lifetime is how long a fingerprint is kept after the last crash.
	Lifetime = 15 * time.Minute

	// Probation is how long a suspect runs alone. After it other work may start
	// beside the suspect: about 30 requests become suspects with one crash, and
	// running each of them alone to its end would stop the endpoint for minutes.
	Probation = 2 * time.Second

	// HoldAfter is how long a suspect waits for the endpoint to become empty
	// before work below urgent is held back for it.
	HoldAfter = time.Second

	// HoldPause is the time between two suspects during which nothing is held
	// back, so that work below urgent progresses.
	HoldPause = 10 * time.Second
)

// Fingerprint is the SHA-256 digest of what a request runs.
type Fingerprint [32]byte

// Verdict is what is known about a fingerprint.
type Verdict int

const (
	// Clear means that the request runs like any other.
	Clear Verdict = iota
	// Suspect means that the request runs apart from other work.
	Suspect
	// Condemned means that the request is refused: request_condemned.
	Condemned
)

// Record is the evidence against one fingerprint, in the form in which
// processes exchange it.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoints are the endpoints that crashed with the request, at most two.
	Endpoints []string `json:"endpoints"`
	// Alone means that the request ran alone at one of these crashes.
	Alone bool `json:"alone"`
	// Last is the time of the last crash.
	Last time.Time `json:"last"`
}

// Condemned reports whether the evidence suffices: crashes of two different
// endpoints, at least one of them with the request running alone. A request
// that only ran beside others at both may be innocent, and an endpoint that
// crashes twice may itself be the cause.
func (r Record) Condemned() bool {
	return r.Alone && len(r.Endpoints) >= 2
}

// Run is a request running at the endpoint.
type Run struct {
	Fingerprint Fingerprint
	Started     time.Time
}

// Table is the evidence known to one process.
type Table struct {
	suspects  *simplelru.LRU[Fingerprint, Record]
	condemned *simplelru.LRU[Fingerprint, Record]
	// lastAlone is when a suspect last started.
	lastAlone time.Time
}

// New returns an empty Table.
func New() *Table {
	return &Table{suspects: newLRU(MaxSuspects), condemned: newLRU(MaxCondemned)}
}

func newLRU(size int) *simplelru.LRU[Fingerprint, Record] {
	lru, err := simplelru.NewLRU[Fingerprint, Record](size, nil)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return lru
}

// Verdict returns what is known about f.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	r, ok := t.record(now, f)
	switch {
	case !ok:
		return Clear
	case r.Condemned():
		return Condemned
	default:
		return Suspect
	}
}

// record returns the evidence against f that has not expired.
func (t *Table) record(now time.Time, f Fingerprint) (Record, bool) {
	for _, lru := range []*simplelru.LRU[Fingerprint, Record]{t.condemned, t.suspects} {
		r, ok := lru.Peek(f)
		if !ok {
			continue
		}
		if now.Sub(r.Last) < Lifetime {
			return r, true
		}
		lru.Remove(f)
	}
	return Record{}, false
}

// Crashed records that endpoint crashed while running ran there, and returns
// the fingerprints that this condemns. Copies of one request count as alone.
func (t *Table) Crashed(now time.Time, endpoint string, running []Run) []Fingerprint {
	var condemned []Fingerprint
	alone := !slices.ContainsFunc(running, func(r Run) bool { return r.Fingerprint != running[0].Fingerprint })
	for _, run := range running {
		before := t.Verdict(now, run.Fingerprint)
		t.add(now, Record{
			Fingerprint: run.Fingerprint,
			Endpoints:   []string{endpoint},
			Alone:       alone,
			Last:        now,
		})
		if before != Condemned && t.Verdict(now, run.Fingerprint) == Condemned {
			condemned = append(condemned, run.Fingerprint)
		}
	}
	return condemned
}

// Merge adds the evidence of other processes; repeated records change nothing.
// A crash later than now, by the clock of another process, counts as now.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if now.Sub(r.Last) >= Lifetime || len(r.Endpoints) == 0 {
			continue
		}
		if r.Last.After(now) {
			r.Last = now
		}
		t.add(now, r)
	}
}

// add unites r with the evidence already known.
func (t *Table) add(now time.Time, r Record) {
	if known, ok := t.record(now, r.Fingerprint); ok {
		r.Endpoints = append(slices.Clone(known.Endpoints), r.Endpoints...)
		r.Alone = r.Alone || known.Alone
		if known.Last.After(r.Last) {
			r.Last = known.Last
		}
	}
	r.Endpoints = distinct(r.Endpoints)
	if r.Condemned() {
		t.suspects.Remove(r.Fingerprint)
		t.condemned.Add(r.Fingerprint, r)
		return
	}
	t.suspects.Add(r.Fingerprint, r)
}

// distinct returns the first two different endpoints.
func distinct(endpoints []string) []string {
	out := []string{endpoints[0]}
	for _, e := range endpoints[1:] {
		if e != out[0] {
			return append(out, e)
		}
	}
	return out
}

// Completed clears a suspect that ran to its end. A condemned fingerprint stays
// until its lifetime ends.
func (t *Table) Completed(f Fingerprint) {
	t.suspects.Remove(f)
}

// Records returns the evidence that has not expired, oldest first.
func (t *Table) Records(now time.Time) []Record {
	var out []Record
	for _, lru := range []*simplelru.LRU[Fingerprint, Record]{t.suspects, t.condemned} {
		for _, r := range lru.Values() {
			if now.Sub(r.Last) < Lifetime {
				out = append(out, r)
			}
		}
	}
	return out
}

// MayStart reports whether f may start beside running: a suspect only at an
// empty endpoint, other work not while a suspect is in its probation, and a
// condemned request never.
func (t *Table) MayStart(now time.Time, f Fingerprint, running []Run) bool {
	switch t.Verdict(now, f) {
	case Condemned:
		return false
	case Suspect:
		return len(running) == 0
	}
	for _, run := range running {
		if now.Sub(run.Started) < Probation && t.Verdict(now, run.Fingerprint) == Suspect {
			return false
		}
	}
	return true
}

// Started records that f starts.
func (t *Table) Started(now time.Time, f Fingerprint) {
	if t.Verdict(now, f) == Suspect {
		t.lastAlone = now
	}
}

// Hold reports whether work below urgent should not start, so that the endpoint
// empties for a suspect that has waited since suspectSince. Urgent work is not
// held back for a suspect.
func (t *Table) Hold(now, suspectSince time.Time) bool {
	return now.Sub(suspectSince) >= HoldAfter && now.Sub(t.lastAlone) >= HoldPause
}
