package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// FreshFor is the time for which a version may be used without confirmation. With
// a propagation of at most 2 s it keeps the site within its limit of 11 s for a
// change to take effect everywhere.
const FreshFor = 8 * time.Second

// Holder holds the catalog in effect in this process. Its version never decreases.
// It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Index]

	mu sync.Mutex
	// confirmed is when the request was sent whose response last confirmed the
	// version.
	confirmed time.Time
	// changed is closed and replaced when a version is adopted.
	changed chan struct{}
}

// NewHolder returns a Holder with an empty catalog of version 0.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(NewIndex(&Catalog{}))
	return h
}

// Current returns the catalog in effect. It is never nil; before the first adoption
// it is the empty catalog of version 0.
func (h *Holder) Current() *Index {
	return h.current.Load()
}

// Adopt puts c into effect if its version is higher than the current one, and
// reports whether it did. The argument requestedAt is when the request for c was
// sent. The caller must not change c afterwards.
func (h *Holder) Adopt(requestedAt time.Time, c *Catalog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version <= h.Current().Version() {
		return false
	}
	h.current.Store(NewIndex(c))
	h.confirm(requestedAt)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Confirm records that a source reported the given version. A version higher than
// the current one confirms nothing and is ignored. The argument requestedAt is when
// the request was sent. The time of receipt proves nothing, because the response may
// have waited in a socket buffer while this process was paused.
func (h *Holder) Confirm(requestedAt time.Time, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.Current().Version() {
		h.confirm(requestedAt)
	}
}

func (h *Holder) confirm(requestedAt time.Time) {
	if requestedAt.After(h.confirmed) {
		h.confirmed = requestedAt
	}
}

// Fresh reports whether a catalog is in effect and was confirmed within FreshFor
// before now.
func (h *Holder) Fresh(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Current().Version() > 0 && now.Sub(h.confirmed) <= FreshFor
}

// Snapshot returns the response to a peer that has the version have: the version in
// effect, and its document as JSON if that version is higher; otherwise body is nil.
func (h *Holder) Snapshot(have uint64) (version uint64, body []byte, err error) {
	current := h.Current()
	if current.Version() <= have {
		return current.Version(), nil, nil
	}
	body, err = current.encoded()
	return current.Version(), body, err
}

// ConfirmedAt returns when the request was sent whose response last confirmed the
// version; zero before the first confirmation.
func (h *Holder) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// Changed returns a channel that is closed when the next version is adopted. A
// watcher must call Changed before Current, so that it misses no version.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
