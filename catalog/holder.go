package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// FreshFor is how long a version may be used without confirmation. With a
// propagation of at most 2 s it keeps the site within its limit of 11 s.
const FreshFor = 8 * time.Second

// Holder has the catalog in effect in this process. The version never falls.
// It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Index]

	mu        sync.Mutex
	confirmed time.Time
	changed   chan struct{}
}

// NewHolder returns a Holder with an empty catalog of version 0.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(NewIndex(&Catalog{}))
	return h
}

// Current returns the catalog in effect. It is never nil.
func (h *Holder) Current() *Index {
	return h.current.Load()
}

// Adopt puts c into effect if its version is higher than the current one, and
// reports whether it did. The argument asked is when the question was sent that
// c answers; c must not change afterwards.
func (h *Holder) Adopt(asked time.Time, c *Catalog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Current().Version() {
		return false
	}
	h.current.Store(NewIndex(c))
	h.confirm(asked)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm records an answer that knew no version above the current one; other
// answers are ignored. The argument asked is when the question was sent: an
// answer may have waited in a socket while this process was paused, and its
// time of receipt proves nothing.
func (h *Holder) Confirm(asked time.Time, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.Current().Version() {
		h.confirm(asked)
	}
}

func (h *Holder) confirm(asked time.Time) {
	if asked.After(h.confirmed) {
		h.confirmed = asked
	}
}

// Fresh reports whether a catalog is in effect that was confirmed within
// FreshFor before now.
func (h *Holder) Fresh(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Current().Version() > 0 && now.Sub(h.confirmed) <= FreshFor
}

// Snapshot answers a peer that has the version have: the version in effect, and
// its document as JSON if that version is higher.
func (h *Holder) Snapshot(have uint64) (version uint64, body []byte, err error) {
	current := h.Current()
	if current.Version() <= have {
		return current.Version(), nil, nil
	}
	body, err = current.encoded()
	return current.Version(), body, err
}

// ConfirmedAt returns when the question was sent whose answer confirmed the
// version last; zero before the first.
func (h *Holder) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// Changed returns a channel that is closed at the next adoption. A watcher
// calls Changed before it reads Current, so that it misses no version.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
