package claim

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Status is what an agent knows about one of its nonces.
type Status int

// Statuses of a nonce.
const (
	// StatusUnknown means that this incarnation does not know the nonce, or that
	// the outcome of its run is unknown.
	StatusUnknown Status = iota
	// StatusRunning means that the attempt runs or that its claim is undecided.
	StatusRunning
	// StatusNeverRun means that the attempt did not run and never will.
	StatusNeverRun
	// StatusDone means that the attempt ran and has an answer.
	StatusDone
)

const (
	// MaxOpenClaims bounds the claims that are undecided, running or not saved
	// yet. At the bound new claims are refused.
	MaxOpenClaims = 4096
	// MaxEndedNonces bounds the ended nonces that are remembered. At the bound the
	// oldest one is dropped, and its status is then StatusUnknown.
	MaxEndedNonces = 65536
)

// NonceRegistry holds the status of the nonces that one agent incarnation has used.
// It is not safe for concurrent use.
type NonceRegistry struct {
	// open maps undecided, running and unsaved nonces to their outcome, which is
	// nil until the run ends.
	open  map[string]*Outcome
	ended *simplelru.LRU[string, Status]
}

// NewNonceRegistry returns a registry without nonces.
func NewNonceRegistry() *NonceRegistry {
	ended, err := simplelru.NewLRU[string, Status](MaxEndedNonces, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &NonceRegistry{open: make(map[string]*Outcome), ended: ended}
}

// Begin records an undecided claim. It returns false at the bound and for a
// nonce that was used before.
func (r *NonceRegistry) Begin(nonce string) bool {
	if r.Known(nonce) || len(r.open) >= MaxOpenClaims {
		return false
	}
	r.open[nonce] = nil
	return true
}

// Known reports whether the nonce was used before and is remembered.
func (r *NonceRegistry) Known(nonce string) bool {
	_, open := r.open[nonce]
	return open || r.ended.Contains(nonce)
}

// Refused records that the nonce never runs. It must be called before the refusal
// is returned to the caller or to another agent.
func (r *NonceRegistry) Refused(nonce string) {
	delete(r.open, nonce)
	r.ended.Add(nonce, StatusNeverRun)
}

// Finished records the outcome of a run. It stays open until Saved.
func (r *NonceRegistry) Finished(nonce string, o Outcome) {
	if _, ok := r.open[nonce]; ok {
		r.open[nonce] = &o
	}
}

// Saved records that the outcome is in the row, or that saving was given up.
func (r *NonceRegistry) Saved(nonce string) {
	o := r.open[nonce]
	delete(r.open, nonce)
	if o != nil {
		r.ended.Add(nonce, o.status())
	}
}

func (o Outcome) status() Status {
	switch o.finalState() {
	case RecordDone:
		return StatusDone
	case RecordReleased:
		return StatusNeverRun
	}
	return StatusUnknown
}

// Status returns what is known about the nonce. The outcome is set with
// StatusDone until it is saved.
func (r *NonceRegistry) Status(nonce string) (Status, *Outcome) {
	if o, ok := r.open[nonce]; ok {
		if o == nil {
			return StatusRunning, nil
		}
		return o.status(), o
	}
	status, _ := r.ended.Peek(nonce)
	return status, nil
}

// Open returns the number of claims that are undecided, running or not saved.
func (r *NonceRegistry) Open() int {
	return len(r.open)
}
