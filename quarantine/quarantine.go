// Package quarantine identifies requests that crash endpoints. A crash makes every
// request that was running at the endpoint a suspect. When a suspect runs again it
// is on probation at first: no other request starts at that endpoint until the
// probation ends, so that a crash during it identifies the cause. Requests that
// are already running there continue, because waiting for an idle endpoint would
// delay every innocent request by seconds after an ordinary crash.
//
// The types are not safe for concurrent use. The caller serializes the calls and
// passes in the time.
package quarantine

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxSuspects and MaxCondemned bound the known fingerprints to 1,024. The two
	// limits are separate, so that the many suspects of a few crashes do not evict
	// a condemned fingerprint. At a limit the oldest record is evicted.
	MaxSuspects  = 512
	MaxCondemned = 512

	// RecordTTL is the time for which a record is kept after the last crash.
	RecordTTL = 15 * time.Minute

	// MaxProbation is the longest probation of a suspect, counted from its start at the
	// endpoint.
	MaxProbation = 2 * time.Second

	// ProbationAfterFirstToken is the time from the first token to the end of the probation.
	// A request that crashes an endpoint does so while its prompt is processed or
	// with its first tokens.
	ProbationAfterFirstToken = 250 * time.Millisecond
)

// Fingerprint identifies equal requests: it is the SHA-256 digest of what a request
// makes the endpoint run.
type Fingerprint [32]byte

// Status is how requests with a fingerprint are treated.
type Status int

const (
	// Clear means that there is no evidence against the request.
	Clear Status = iota
	// Suspect means that the request was running at an endpoint that crashed. It
	// starts on probation.
	Suspect
	// Condemned means that the request crashed endpoints and is refused with the
	// result code request_condemned.
	Condemned
)

// Record is the evidence against one fingerprint. Its JSON form is stored in the
// row that processes share.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Endpoints are the distinct endpoints that crashed while they ran the request,
	// at most two.
	Endpoints []string `json:"endpoints"`
	// Alone means that one of these crashes is attributed to the request, because it
	// was on probation and no other request had started after it.
	Alone bool `json:"alone"`
	// Last is the time of the last crash.
	Last time.Time `json:"last"`
}

// Condemned reports whether the evidence suffices to refuse the request: crashes of
// two different endpoints, at least one of them attributed to the request. If both
// crashed while it merely ran beside others it may be innocent, and if the same
// endpoint crashed twice the endpoint itself may be the cause.
func (r Record) Condemned() bool {
	return r.Alone && len(r.Endpoints) >= 2
}

// Run is one execution of a request at an endpoint.
type Run struct {
	Fingerprint Fingerprint
	Started     time.Time
	// FirstToken is the time of the first token; zero if there is none yet.
	FirstToken time.Time
}

// onProbation reports whether the probation has not ended yet, given that the
// request is a suspect.
func (r Run) onProbation(now time.Time) bool {
	if now.Sub(r.Started) >= MaxProbation {
		return false
	}
	return r.FirstToken.IsZero() || now.Sub(r.FirstToken) < ProbationAfterFirstToken
}

// Tracker holds the evidence known to one process.
type Tracker struct {
	suspects  *simplelru.LRU[Fingerprint, Record]
	condemned *simplelru.LRU[Fingerprint, Record]
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspects: newLRU(MaxSuspects), condemned: newLRU(MaxCondemned)}
}

func newLRU(size int) *simplelru.LRU[Fingerprint, Record] {
	lru, err := simplelru.NewLRU[Fingerprint, Record](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only if the size is not positive.
	}
	return lru
}

// Status returns how requests with fingerprint f are treated at the time now.
func (t *Tracker) Status(now time.Time, f Fingerprint) Status {
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

// record returns the evidence against f unless it has expired, in which case it is
// deleted.
func (t *Tracker) record(now time.Time, f Fingerprint) (Record, bool) {
	for _, lru := range []*simplelru.LRU[Fingerprint, Record]{t.condemned, t.suspects} {
		r, ok := lru.Peek(f)
		if !ok {
			continue
		}
		if now.Sub(r.Last) < RecordTTL {
			return r, true
		}
		lru.Remove(f)
	}
	return Record{}, false
}

// Crashed records that endpoint crashed with the given requests running, and
// returns the fingerprints that this crash condemned.
func (t *Tracker) Crashed(now time.Time, endpoint string, running []Run) []Fingerprint {
	alone := make([]bool, len(running))
	for i, run := range running {
		alone[i] = t.attributable(now, run, running)
	}
	var condemned []Fingerprint
	for i, run := range running {
		before := t.Status(now, run.Fingerprint)
		t.addEvidence(now, Record{
			Fingerprint: run.Fingerprint,
			Endpoints:   []string{endpoint},
			Alone:       alone[i],
			Last:        now,
		})
		if before != Condemned && t.Status(now, run.Fingerprint) == Condemned {
			condemned = append(condemned, run.Fingerprint)
		}
	}
	return condemned
}

// attributable reports whether a crash is attributed to run: it is a suspect on
// probation, every other request started before it, and no other suspect is on
// probation. Copies of the same request count as one.
func (t *Tracker) attributable(now time.Time, run Run, running []Run) bool {
	if t.Status(now, run.Fingerprint) == Clear || !run.onProbation(now) {
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

func (t *Tracker) suspectOnProbation(now time.Time, run Run) bool {
	return run.onProbation(now) && t.Status(now, run.Fingerprint) == Suspect
}

// Merge adds the evidence of other processes. Merging a record again changes
// nothing. A crash later than now, by the clock of another process, counts as one
// at now.
func (t *Tracker) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if now.Sub(r.Last) >= RecordTTL || len(r.Endpoints) == 0 {
			continue
		}
		if r.Last.After(now) {
			r.Last = now
		}
		t.addEvidence(now, r)
	}
}

// addEvidence combines r with the known evidence against the same fingerprint and
// stores the result.
func (t *Tracker) addEvidence(now time.Time, r Record) {
	if known, ok := t.record(now, r.Fingerprint); ok {
		r.Endpoints = append(slices.Clone(known.Endpoints), r.Endpoints...)
		r.Alone = r.Alone || known.Alone
		if known.Last.After(r.Last) {
			r.Last = known.Last
		}
	}
	r.Endpoints = firstTwoDistinct(r.Endpoints)
	if r.Condemned() {
		t.suspects.Remove(r.Fingerprint)
		t.condemned.Add(r.Fingerprint, r)
		return
	}
	t.suspects.Add(r.Fingerprint, r)
}

// firstTwoDistinct returns the first two different endpoints of a list that is not
// empty, or the only one.
func firstTwoDistinct(endpoints []string) []string {
	out := []string{endpoints[0]}
	for _, e := range endpoints[1:] {
		if e != out[0] {
			return append(out, e)
		}
	}
	return out
}

// CondemnedCount returns the number of condemned fingerprints that have not expired.
func (t *Tracker) CondemnedCount(now time.Time) int {
	n := 0
	for _, r := range t.condemned.Values() {
		if now.Sub(r.Last) < RecordTTL {
			n++
		}
	}
	return n
}

// Completed removes the evidence against a suspect whose request ran to its end. A
// condemned fingerprint remains until it expires.
func (t *Tracker) Completed(f Fingerprint) {
	t.suspects.Remove(f)
}

// Records returns the records that have not expired: suspects, then condemned ones,
// each from the oldest to the latest.
func (t *Tracker) Records(now time.Time) []Record {
	var out []Record
	for _, lru := range []*simplelru.LRU[Fingerprint, Record]{t.suspects, t.condemned} {
		for _, r := range lru.Values() {
			if now.Sub(r.Last) < RecordTTL {
				out = append(out, r)
			}
		}
	}
	return out
}

// MayStart reports whether a request may start at an endpoint with the given
// requests running. A condemned request never may, and no request may while a
// suspect is on probation there. So suspects start one at a time, and a crash
// caused by a request that starts later is not attributed to the suspect.
func (t *Tracker) MayStart(now time.Time, f Fingerprint, running []Run) bool {
	if t.Status(now, f) == Condemned {
		return false
	}
	for _, run := range running {
		if t.suspectOnProbation(now, run) {
			return false
		}
	}
	return true
}
