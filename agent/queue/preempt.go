package queue

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// MaxPreemptions bounds how often one stream is preempted.
	MaxPreemptions = 3

	// MinRun is how long a preempted stream runs after it has started again
	// before it can be preempted again. A restart reads the prompt and the text
	// so far once more, so a shorter run would be spent mostly on that.
	MinRun = 5 * time.Second

	// PreemptUrgentAfter and PreemptShortAfter are how long an item waits before
	// a stream is preempted for it. Slots often become free by themselves in this
	// time, and each preemption makes the engine read a prompt again, which
	// delays the tokens of all its streams.
	PreemptUrgentAfter = 100 * time.Millisecond
	PreemptShortAfter  = time.Second

	// longShare is the divisor of the running streams that gives the slots that
	// long work keeps while shorter work of its own tier or a higher one waits.
	longShare = 4
)

// Running is a stream at the endpoint as PreemptFor sees it.
type Running struct {
	Item
	// Started is when the stream last started at the endpoint. Item.Used is the
	// use before that.
	Started time.Time
	// Cancelling means that the stream is being cancelled or is about to end;
	// its slot counts as about to become free.
	Cancelling bool
}

// UsedAt returns the whole use of the endpoint until now.
func (r Running) UsedAt(now time.Time) time.Duration {
	return r.Used + max(0, now.Sub(r.Started))
}

func (r Running) preemptible(now time.Time) bool {
	if r.Cancelling || r.Tier == catalog.TierUrgent || r.Preemptions >= MaxPreemptions {
		return false
	}
	return r.Preemptions == 0 || now.Sub(r.Started) >= MinRun
}

// Preemptible returns how many running streams PreemptFor could take for urgent
// work when keep streams below urgent must stay.
func Preemptible(now time.Time, keep int, running []Running) int {
	able, below := 0, 0
	for _, r := range running {
		if r.Tier != catalog.TierUrgent && !r.Cancelling {
			below++
		}
		if r.preemptible(now) {
			able++
		}
	}
	return max(0, min(able, below-keep))
}

// PreemptFor picks the running stream to cancel at the endpoint and to push
// again, with its use and its count of preemptions raised, so that a waiting
// item gets its slot. It is called while no slot is free. keep is the number of
// streams below urgent that must stay.
//
// For a waiting urgent item any stream of a lower tier can be taken. For a
// waiting standard or batch item that has not become long, a stream of a lower
// tier, or a long stream of the same tier and another class that would follow
// the item in the queue, can be taken; together such streams keep a quarter of
// the running ones. Urgent streams are never taken. A stream is taken at most
// MaxPreemptions times and runs for MinRun after each restart. Among the
// candidates the lowest tier and then the one with the most use is taken.
func (q *Queue) PreemptFor(now time.Time, keep int, running []Running) (string, bool) {
	cancelling, below := 0, 0
	for _, r := range running {
		switch {
		case r.Cancelling:
			cancelling++
		case r.Tier != catalog.TierUrgent:
			below++
		}
	}
	if below <= keep || q.requeued+cancelling >= q.opts.Requeued {
		return "", false
	}
	if urgent := q.tiers[catalog.TierUrgent].len(); urgent > 0 {
		if urgent <= cancelling || !q.overdue(now) {
			return "", false
		}
		return choose(now, running, func(Running) bool { return true })
	}
	return q.preemptForShort(now, cancelling, running)
}

// preemptForShort serves waiting work below urgent that is not long.
func (q *Queue) preemptForShort(now time.Time, cancelling int, running []Running) (string, bool) {
	for tier := catalog.TierStandard; tier < catalog.TierCount; tier++ {
		heads := q.shortHeads(now, tier)
		if len(heads) == 0 || q.tiers[tier].len() <= cancelling {
			continue
		}
		yields := func(r Running) bool { return yieldsTo(now, r, tier, heads) }
		count := 0
		for _, r := range running {
			if !r.Cancelling && yields(r) {
				count++
			}
		}
		if count <= (len(running)-cancelling)/longShare {
			continue
		}
		if id, ok := choose(now, running, yields); ok {
			return id, true
		}
	}
	return "", false
}

// overdue reports whether an urgent item has waited long enough to preempt.
func (q *Queue) overdue(now time.Time) bool {
	for _, c := range q.tiers[catalog.TierUrgent].rota.elements {
		if c.entries.first().waited(now, PreemptUrgentAfter) {
			return true
		}
	}
	return false
}

// waited reports whether e has waited for d or has no more than d left.
func (e *entry) waited(now time.Time, d time.Duration) bool {
	return now.Sub(e.since) >= d || e.WaitUntil.Sub(now) <= d
}

// shortHeads returns the first entry of each class of tier that is not long
// and has waited long enough to preempt.
func (q *Queue) shortHeads(now time.Time, tier int) []*entry {
	var heads []*entry
	for _, c := range q.tiers[tier].rota.elements {
		e := c.entries.first()
		if e.Used < LongAfter && e.waited(now, PreemptShortAfter) {
			heads = append(heads, e)
		}
	}
	return heads
}

// yieldsTo reports whether a running stream counts as long, or as of a lower
// tier, for the entries that wait in tier. Streams of one class do not yield to
// each other: they are expected to be equally long, so that switching between
// them delays all of them.
func yieldsTo(now time.Time, r Running, tier int, heads []*entry) bool {
	if r.Tier != tier {
		return r.Tier > tier
	}
	used := r.UsedAt(now)
	if used < LongAfter {
		return false
	}
	order := r.Deadline.Add(levelDelay(used))
	for _, e := range heads {
		if e.Class != r.Class && e.order.Before(order) {
			return true
		}
	}
	return false
}

// choose returns the preemptible stream among the candidates that is of the
// lowest tier and has the most use.
func choose(now time.Time, running []Running, candidate func(Running) bool) (string, bool) {
	best := -1
	for i, r := range running {
		if !r.preemptible(now) || !candidate(r) {
			continue
		}
		if best < 0 || takenBefore(now, r, running[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return running[best].ID, true
}

func takenBefore(now time.Time, a, b Running) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	if left, right := a.UsedAt(now), b.UsedAt(now); left != right {
		return left > right
	}
	return a.ID < b.ID
}
