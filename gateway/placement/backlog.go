package placement

import (
	"slices"
	"time"
)

// prefillBacklog estimates the prompt tokens of the peers that an endpoint has yet to
// read. Each peer's tokens are assumed to fall linearly to zero: a peer states the end
// of a prefill only in its next regular statement, and until then the endpoint would
// look busy.
//
// The sum is kept as a linear function of time, so that reading it costs the same for
// any number of peers.
type prefillBacklog struct {
	prompts []peerPrompt
	// sum is the number of unread tokens at the time from; it falls by perMS tokens
	// per millisecond after that.
	from  time.Time
	sum   float64
	perMS float64
	// until is when the first peer's tokens reach zero; sum and perMS do not hold
	// beyond it.
	until time.Time
}

// peerPrompt holds the prompt tokens that one peer stated as unread.
type peerPrompt struct {
	peer   string
	tokens float64
	at     time.Time
	// perMS is the speed in tokens per millisecond at which tokens falls; it reaches
	// zero at end.
	perMS float64
	end   time.Time
}

// remaining returns the number of tokens that are expected to be unread now.
func (b *prefillBacklog) remaining(now time.Time) int {
	if len(b.prompts) == 0 {
		return 0
	}
	if !now.Before(b.until) {
		b.rebuild(now)
	}
	return max(int(b.sum-b.perMS*sinceMS(now, b.from)), 0)
}

// set replaces the unread tokens of a peer. The endpoint reads rate tokens per
// millisecond. It is expected to finish the peer's tokens at the same time as all
// others that wait there, including own, those of this gateway.
func (b *prefillBacklog) set(now time.Time, peer string, tokens, own int, rate float64) {
	before := len(b.prompts)
	b.prompts = slices.DeleteFunc(b.prompts, func(p peerPrompt) bool { return p.peer == peer })
	if len(b.prompts) < before {
		b.rebuild(now)
	}
	if tokens <= 0 {
		return
	}
	readMS := float64(own+b.remaining(now)+tokens) / rate
	b.prompts = append(b.prompts, peerPrompt{
		peer: peer, tokens: float64(tokens), at: now,
		perMS: float64(tokens) / readMS, end: now.Add(milliseconds(readMS)),
	})
	b.rebuild(now)
}

// rebuild drops the peers whose tokens have reached zero and recomputes the sum.
func (b *prefillBacklog) rebuild(now time.Time) {
	b.prompts = slices.DeleteFunc(b.prompts, func(p peerPrompt) bool { return !now.Before(p.end) })
	b.from, b.sum, b.perMS, b.until = now, 0, 0, time.Time{}
	for _, p := range b.prompts {
		b.sum += p.tokens - p.perMS*sinceMS(now, p.at)
		b.perMS += p.perMS
		if b.until.IsZero() || p.end.Before(b.until) {
			b.until = p.end
		}
	}
}

// sinceMS returns the time from one point to another in milliseconds.
func sinceMS(now, from time.Time) float64 {
	return float64(now.Sub(from)) / float64(time.Millisecond)
}
