package claim

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Status is what an agent knows about one of its nonces.
type Status int

// Statuses of a nonce.
const (
	// StatusUnknown means that this incarnation does not know the nonce, or that
	// its run has no known outcome.
	StatusUnknown Status = iota
	// StatusRunning means that the nonce runs or its claim is undecided.
	StatusRunning
	// StatusNeverRun means that the nonce did not run and never will.
	StatusNeverRun
	// StatusDone means that the nonce ran to its end.
	StatusDone
)

const (
	// MaxOpen bounds the claims that are undecided, running or not saved yet. At
	// the bound new claims are refused.
	MaxOpen = 4096
	// MaxEnded bounds the ended nonces that are remembered. The oldest one is
	// forgotten and reported as StatusUnknown.
	MaxEnded = 65536
)

// Memory is what an agent incarnation knows about its nonces. It is not safe
// for concurrent use.
type Memory struct {
	// open maps undecided, running and unsaved nonces to their outcome, which is
	// nil until they end.
	open  map[string]*Outcome
	ended *simplelru.LRU[string, Status]
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	ended, err := simplelru.NewLRU[string, Status](MaxEnded, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Memory{open: make(map[string]*Outcome), ended: ended}
}

// Begin records an undecided claim. It returns false at the bound and for a
// nonce that was used before.
func (m *Memory) Begin(nonce string) bool {
	if m.Known(nonce) || len(m.open) >= MaxOpen {
		return false
	}
	m.open[nonce] = nil
	return true
}

// Known reports whether the nonce was used before and is remembered.
func (m *Memory) Known(nonce string) bool {
	_, open := m.open[nonce]
	return open || m.ended.Contains(nonce)
}

// Refused records that the nonce never runs. It is called before the refusal is
// told to anyone.
func (m *Memory) Refused(nonce string) {
	delete(m.open, nonce)
	m.ended.Add(nonce, StatusNeverRun)
}

// Finished records the outcome of a run. It stays open until Saved.
func (m *Memory) Finished(nonce string, o Outcome) {
	if _, ok := m.open[nonce]; ok {
		m.open[nonce] = &o
	}
}

// Saved records that the outcome is in the row, or that saving was given up.
func (m *Memory) Saved(nonce string) {
	o := m.open[nonce]
	delete(m.open, nonce)
	if o != nil {
		m.ended.Add(nonce, o.status())
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
func (m *Memory) Status(nonce string) (Status, *Outcome) {
	if o, ok := m.open[nonce]; ok {
		if o == nil {
			return StatusRunning, nil
		}
		return o.status(), o
	}
	status, _ := m.ended.Peek(nonce)
	return status, nil
}

// Open returns the number of claims that are undecided, running or not saved.
func (m *Memory) Open() int {
	return len(m.open)
}
