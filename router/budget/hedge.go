package budget

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxLatencySamples is the number of recent first-token times kept for a group.
	maxLatencySamples = 128
	// minLatencySamples is the number of samples below which there is no hedging.
	minLatencySamples = 20
	// samplesPerUpdate is the number of new samples after which the percentile is
	// recomputed.
	samplesPerUpdate = 8
	// maxGroups bounds the groups kept; the least recently used one is forgotten.
	maxGroups = 128
)

// HedgeOptions adjust a Hedger. Zero values take the defaults.
type HedgeOptions struct {
	// Percentile of the recent first-token times, from 0 to 1, beyond which a request
	// counts as late; 0.95 by default, so that about 5% of the requests count as late.
	Percentile float64
	// MinDelay is the shortest delay before a hedge; 10 ms by default.
	MinDelay time.Duration
}

// Hedger decides when an idempotent request gets a second, parallel attempt because
// its first token is late. It is not safe for concurrent use.
type Hedger struct {
	options HedgeOptions
	groups  *simplelru.LRU[string, *firstTokenTimes]
}

// firstTokenTimes is a ring of the most recent values and their percentile.
type firstTokenTimes struct {
	ring        []time.Duration
	next        int
	sinceUpdate int
	percentile  time.Duration
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
	h.groups, _ = simplelru.NewLRU[string, *firstTokenTimes](maxGroups, nil)
	return h
}

// Observe records the time from the first attempt of a request to its first
// token, whichever attempt delivered it. A group is a set of requests that are
// comparable, such as those of one model and tier.
func (h *Hedger) Observe(group string, firstToken time.Duration) {
	times, ok := h.groups.Get(group)
	if !ok {
		times = &firstTokenTimes{ring: make([]time.Duration, 0, maxLatencySamples)}
		h.groups.Add(group, times)
	}
	if len(times.ring) < maxLatencySamples {
		times.ring = append(times.ring, firstToken)
	} else {
		times.ring[times.next] = firstToken
		times.next = (times.next + 1) % maxLatencySamples
	}
	times.sinceUpdate++
	if len(times.ring) >= minLatencySamples && (times.sinceUpdate >= samplesPerUpdate || times.percentile == 0) {
		times.sinceUpdate = 0
		times.percentile = h.percentileOf(times.ring)
	}
}

func (h *Hedger) percentileOf(ring []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(ring))
	at := int(h.options.Percentile * float64(len(sorted)))
	return max(sorted[min(at, len(sorted)-1)], h.options.MinDelay)
}

// Delay returns the time after which a request of the group counts as late. It
// reports false while there are too few samples.
func (h *Hedger) Delay(group string) (time.Duration, bool) {
	times, ok := h.groups.Peek(group)
	if !ok || times.percentile == 0 {
		return 0, false
	}
	return times.percentile, true
}

// Allow reports whether a request may be hedged that has waited this long for its
// first token, counted from its first attempt. If so, it has charged the budget.
func (h *Hedger) Allow(b *Budget, account, group string, idempotent bool, waited time.Duration) bool {
	delay, known := h.Delay(group)
	if !idempotent || !known || waited < delay {
		return false
	}
	return b.Spend(account, Hedge)
}
