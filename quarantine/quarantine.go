// Package quarantine finds the requests that crash endpoints. A crash makes all
// requests that were running there suspects. A suspect starts apart from other
// suspects, and nothing else starts beside it until it has proved itself, so that
// a second crash in that time shows the cause. Streams that are already running
// go on: waiting for an empty endpoint would delay every innocent request of an
// ordinary crash by seconds. The package is single-threaded: the caller
// serialises the calls and passes the time.
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

	// Probation is the longest time in which a suspect has to prove itself.
	Probation = 2 * time.Second

	// ProofAfterFirst ends the probation this long after the first token. A
	// request that crashes an endpoint does so while its prompt is processed or
	// with its first tokens.
	ProofAfterFirst = 250 * time.Millisecond
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
	// Alone means that one of these crashes came while the request was on
	// probation, so that no other request had started after it.
	Alone bool `json:"alone"`
	// Last is the time of the last crash.
	Last time.Time `json:"last"`
}

// Condemned reports whether the evidence suffices: crashes of two different
// endpoints, at least one of them during the request's probation. A request that
// only ran beside others at both may be innocent, and an endpoint that crashes
// twice may itself be the cause.
func (r Record) Condemned() bool {
	return r.Alone && len(r.Endpoints) >= 2
}

// Run is a request running at the endpoint.
type Run struct {
	Fingerprint Fingerprint
	Started     time.Time
	// FirstToken is the time of the first token of this run; zero means none yet.
	FirstToken time.Time
}

// onProbation reports whether a run of a suspect has not proved itself yet.
func (r Run) onProbation(now time.Time) bool {
	if now.Sub(r.Started) >= Probation {
		return false
	}
	return r.FirstToken.IsZero() || now.Sub(r.FirstToken) < ProofAfterFirst
}

// Table is the evidence known to one process.
type Table struct {
	suspects  *simplelru.LRU[Fingerprint, Record]
	condemned *simplelru.LRU[Fingerprint, Record]
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
// the fingerprints that this condemns.
func (t *Table) Crashed(now time.Time, endpoint string, running []Run) []Fingerprint {
	alone := make([]bool, len(running))
	for i, run := range running {
		alone[i] = t.alone(now, run, running)
	}
	var condemned []Fingerprint
	for i, run := range running {
		before := t.Verdict(now, run.Fingerprint)
		t.add(now, Record{
			Fingerprint: run.Fingerprint,
			Endpoints:   []string{endpoint},
			Alone:       alone[i],
			Last:        now,
		})
		if before != Condemned && t.Verdict(now, run.Fingerprint) == Condemned {
			condemned = append(condemned, run.Fingerprint)
		}
	}
	return condemned
}

// alone reports whether a crash is attributed to one run: it is a suspect on
// probation, and no other request started after it or is on probation too.
// Copies of one request count as one.
func (t *Table) alone(now time.Time, run Run, running []Run) bool {
	if t.Verdict(now, run.Fingerprint) == Clear || !run.onProbation(now) {
		return false
	}
	for _, other := range running {
		if other.Fingerprint == run.Fingerprint {
			continue
		}
		if !other.Started.Before(run.Started) || t.suspectOnProbation(now, other) {
			return false
		}
	}
	return true
}

func (t *Table) suspectOnProbation(now time.Time, run Run) bool {
	return run.onProbation(now) && t.Verdict(now, run.Fingerprint) == Suspect
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

// MayStart reports whether a request may start beside running: none while a
// suspect is on probation there, and a condemned one never. Suspects therefore
// start one after the other, and what starts beside a suspect cannot be mistaken
// for it.
func (t *Table) MayStart(now time.Time, f Fingerprint, running []Run) bool {
	if t.Verdict(now, f) == Condemned {
		return false
	}
	for _, run := range running {
		if t.suspectOnProbation(now, run) {
			return false
		}
	}
	return true
}
