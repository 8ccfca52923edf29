package queue

import (
	"time"

	"github.com/pistachiowind/pistachiowind/catalog"
)

const (
	// MaxPreemptions bounds how often one stream is preempted.
	MaxPreemptions = 3

	// MinRunAfterRestart is how long a preempted stream runs after it has started
	// again before it can be preempted again. On a restart the engine processes
	// the prompt and the text so far once more, so a shorter run would be spent
	// mostly on that.
	MinRunAfterRestart = 5 * time.Second

	// PreemptUrgentAfter and PreemptShortAfter are how long an urgent item and a
	// short item of a lower tier wait before a stream is preempted for them. Slots
	// often become free by themselves in this time, and each preemption makes the
	// engine process a prompt again, which delays the tokens of all its streams.
	PreemptUrgentAfter = 100 * time.Millisecond
	PreemptShortAfter  = time.Second

	// longStreamDivisor divides the number of running streams to give the number
	// of streams that keep their slots although they are long or of a lower tier
	// than the shorter work that waits.
	longStreamDivisor = 4
)

// Running describes a stream at the endpoint to Preemptible and PreemptFor.
type Running struct {
	Item
	// Started is when the stream last started at the endpoint. Item.Used is its
	// run time before that.
	Started time.Time
	// Cancelling means that the stream is being cancelled or is about to end;
	// its slot counts as about to become free.
	Cancelling bool
}

// UsedAt returns the stream's total run time at the endpoint until now.
func (r Running) UsedAt(now time.Time) time.Duration {
	return r.Used + max(0, now.Sub(r.Started))
}

// preemptible reports whether the stream may be preempted at all; PreemptFor
// has further conditions.
func (r Running) preemptible(now time.Time) bool {
	if r.Cancelling || r.Tier == catalog.TierUrgent || r.Preemptions >= MaxPreemptions {
		return false
	}
	return r.Preemptions == 0 || now.Sub(r.Started) >= MinRunAfterRestart
}

// Preemptible returns how many running streams PreemptFor could preempt for
// urgent work when at least minBelowUrgent streams below urgent must keep running.
func Preemptible(now time.Time, minBelowUrgent int, running []Running) int {
	eligible, belowUrgent := 0, 0
	for _, r := range running {
		if r.Tier != catalog.TierUrgent && !r.Cancelling {
			belowUrgent++
		}
		if r.preemptible(now) {
			eligible++
		}
	}
	return max(0, min(eligible, belowUrgent-minBelowUrgent))
}

// PreemptFor returns the ID of the running stream to preempt, so that a waiting
// item gets its slot. The caller cancels the stream at the endpoint and pushes
// its item again with Used and Preemptions raised. PreemptFor is called while no
// slot is free. At least minBelowUrgent streams below urgent keep running.
//
// For a waiting urgent item any stream of a lower tier can be preempted. For a
// waiting standard or batch item that has not become long, a stream of a lower
// tier can be preempted, or a long stream of the same tier and another class
// that would follow the item in the queue; a quarter of the running streams may be
// of these kinds without a preemption. Urgent streams are never preempted. A stream
// is preempted at most MaxPreemptions times and runs for MinRunAfterRestart after
// each restart. Among the candidates, the one of the lowest tier and then the one
// with the longest run time is chosen.
func (q *Queue) PreemptFor(now time.Time, minBelowUrgent int, running []Running) (string, bool) {
	cancelling, belowUrgent := 0, 0
	for _, r := range running {
		switch {
		case r.Cancelling:
			cancelling++
		case r.Tier != catalog.TierUrgent:
			belowUrgent++
		}
	}
	if belowUrgent <= minBelowUrgent || q.requeued+cancelling >= q.opts.MaxRequeued {
		return "", false
	}
	if urgent := q.tiers[catalog.TierUrgent].len(); urgent > 0 {
		if urgent <= cancelling || !q.urgentOverdue(now) {
			return "", false
		}
		return chooseVictim(now, running, func(Running) bool { return true })
	}
	return q.preemptForShort(now, cancelling, running)
}

// preemptForShort chooses a stream to preempt for waiting work below urgent that
// is not long.
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
		if count <= (len(running)-cancelling)/longStreamDivisor {
			continue
		}
		if id, ok := chooseVictim(now, running, yields); ok {
			return id, true
		}
	}
	return "", false
}

// urgentOverdue reports whether an urgent item has waited long enough for a
// preemption.
func (q *Queue) urgentOverdue(now time.Time) bool {
	for _, c := range q.tiers[catalog.TierUrgent].classesByLastStart.elements {
		if c.entries.first().waited(now, PreemptUrgentAfter) {
			return true
		}
	}
	return false
}

// waited reports whether e has waited for at least d or expires within d.
func (e *entry) waited(now time.Time, d time.Duration) bool {
	return now.Sub(e.pushedAt) >= d || e.WaitUntil.Sub(now) <= d
}

// shortHeads returns the first entry of each class of tier, if that entry is not
// long and has waited long enough for a preemption.
func (q *Queue) shortHeads(now time.Time, tier int) []*entry {
	var heads []*entry
	for _, c := range q.tiers[tier].classesByLastStart.elements {
		e := c.entries.first()
		if e.Used < LongAfter && e.waited(now, PreemptShortAfter) {
			heads = append(heads, e)
		}
	}
	return heads
}

// yieldsTo reports whether a running stream may be preempted for one of the
// heads, which wait in tier: it is of a lower tier, or it is long and would
// follow one of them in the queue. Streams of one class do not yield to each
// other: they are expected to be equally long, so that switching between them
// delays all of them.
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
		if e.Class != r.Class && e.effectiveDeadline.Before(order) {
			return true
		}
	}
	return false
}

// chooseVictim returns the ID of the preemptible candidate of the lowest tier;
// among those of that tier, the one with the longest run time.
func chooseVictim(now time.Time, running []Running, candidate func(Running) bool) (string, bool) {
	best := -1
	for i, r := range running {
		if !r.preemptible(now) || !candidate(r) {
			continue
		}
		if best < 0 || preemptedBefore(now, r, running[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return running[best].ID, true
}

// preemptedBefore breaks ties by ID, so that the choice is deterministic.
func preemptedBefore(now time.Time, a, b Running) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	if left, right := a.UsedAt(now), b.UsedAt(now); left != right {
		return left > right
	}
	return a.ID < b.ID
}
