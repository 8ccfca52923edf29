package budget

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// latencySamples is the number of recent first-token times of a group.
	latencySamples = 128
	// minLatencySamples is the number below which there is no hedging.
	minLatencySamples = 20
	// sortEvery is the number of new samples after which the percentile is
	// computed again.
	sortEvery = 8
	// maxGroups bounds the groups; the least recently used one is forgotten.
	maxGroups = 128
)

// HedgeOptions adjust a Hedger. Zero values take the defaults.
type HedgeOptions struct {
	// Percentile of the recent first-token times after which a request counts as
	// late; 0.95 by default, which hedges 5% of the requests.
	Percentile float64
	// MinDelay is the least time before a hedge; 10 ms by default.
	MinDelay time.Duration
}

// Hedger decides when an idempotent request is sent a second time because its
// first token is late. It is not safe for concurrent use.
type Hedger struct {
	options HedgeOptions
	groups  *simplelru.LRU[string, *latencies]
}

// latencies is a ring of the most recent values and their percentile.
type latencies struct {
	ring       []time.Duration
	next       int
	sinceSort  int
	percentile time.Duration
}

// NewHedger returns a Hedger without samples.
func NewHedger(o HedgeOptions) *Hedger {
	if o.Percentile <= 0 || o.Percentile >= 1 {
		o.Percentile = 0.95
	}
	if o.MinDelay <= 0 {
		o.MinDelay = 10 * time.Millisecond
	}
	h := &Hedger{options: o}
	// The size is positive, which is all that NewLRU checks.
	h.groups, _ = simplelru.NewLRU[string, *latencies](maxGroups, nil)
	return h
}

// Observe notes the time from the first attempt of a request to its first
// token, whichever attempt delivered it. A group is a set of requests that are
// comparable, such as those of one model and tier.
func (h *Hedger) Observe(group string, firstToken time.Duration) {
	l, ok := h.groups.Get(group)
	if !ok {
		l = &latencies{ring: make([]time.Duration, 0, latencySamples)}
		h.groups.Add(group, l)
	}
	if len(l.ring) < latencySamples {
		l.ring = append(l.ring, firstToken)
	} else {
		l.ring[l.next] = firstToken
		l.next = (l.next + 1) % latencySamples
	}
	l.sinceSort++
	if len(l.ring) >= minLatencySamples && (l.sinceSort >= sortEvery || l.percentile == 0) {
		l.sinceSort = 0
		l.percentile = h.compute(l.ring)
	}
}

func (h *Hedger) compute(ring []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(ring))
	at := int(h.options.Percentile * float64(len(sorted)))
	return max(sorted[min(at, len(sorted)-1)], h.options.MinDelay)
}

// Delay returns the time after which a request of the group counts as late. It
// reports false while there are too few samples.
func (h *Hedger) Delay(group string) (time.Duration, bool) {
	l, ok := h.groups.Peek(group)
	if !ok || l.percentile == 0 {
		return 0, false
	}
	return l.percentile, true
}

// Allow decides about a hedge for a request that has waited for its first token
// since its first attempt. When it returns true, the budget has been charged.
func (h *Hedger) Allow(b *Budget, account, group string, idempotent bool, waited time.Duration) bool {
	delay, known := h.Delay(group)
	if !idempotent || !known || waited < delay {
		return false
	}
	return b.Spend(account, Hedge)
}
