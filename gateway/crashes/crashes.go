// Package crashes finds what crashes endpoints: a request that is sent again and again,
// or a part that the prompts of different requests share. A crash breaks every attempt at
// the endpoint, so most of its suspects are innocent. What tells them apart is time: a
// request that an endpoint answers to its end clears all its suspects, and what is at
// fault is never cleared.
//
// A suspect is condemned by condemnRounds rounds of crashes without such an answer; endpoints
// that fail together are one round. A request that stood in several crashes is not sent again
// before a further one would be a round of its own. Suspects that
// stood in the same crashes can't be told apart; only a request that holds all of them is
// refused, and others show which of them is at fault. A condemned suspect that is asked
// for often is tried again with a single request.
//
// Gateways state the crashes that they observe to each other, so that all reach the same
// verdicts, and keep the suspects of several crashes in the store of the platform, so that
// the verdicts outlast a restart of all gateways at once.
//
// A Table is not safe for concurrent use. Its methods take the time as a parameter.
package crashes

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// condemnRounds is the number of rounds of crashes that condemns a suspect. The
	// platform allows a request to crash three endpoints, and a part five.
	condemnRounds = 3
	// standingRounds is the number of rounds from which a suspect is stated to peers again
	// and again, and stored.
	standingRounds = 2
	// roundGap is the least time between two rounds. Endpoints that crash within it may
	// have failed together, such as those of one rack, and count once.
	roundGap = 250 * time.Millisecond
	// spacedCrashes is the number of crashes from which a request is sent again only
	// roundGap after the last one. Otherwise a request that is repeated at once crashes any
	// number of endpoints in one round.
	spacedCrashes = 2
	// suspectTTL is how long a suspect that is not condemned is kept after its last crash. A
	// caller that repeats a request does so within seconds or minutes. condemnedTTL is the
	// same for a condemned one.
	suspectTTL   = 5 * time.Minute
	condemnedTTL = 24 * time.Hour
	// maxSuspects and maxStanding bound the suspects of fewer and of at least standingRounds
	// rounds; the least recently observed one is evicted.
	maxSuspects = 4096
	maxStanding = 256
	// maxCrashes bounds the crashes kept of a suspect, and maxCleared those that are known
	// not to be its fault; the oldest are forgotten.
	maxCrashes = 16
	maxCleared = 16
)

// Fingerprint is a hash of what a request runs. It is the same whoever sends the
// request again.
type Fingerprint uint64

// Suspect is what may crash an endpoint: a request, by its Fingerprint, or a part of its
// prompt, by the part's id.
type Suspect struct {
	IsPart bool
	ID     uint64
}

// Crash is an endpoint process that broke attempts.
type Crash struct {
	// Endpoint is the hash of the process of the endpoint, which another one has after a
	// restart.
	Endpoint uint64
	// At is when the first attempt broke.
	At time.Time
	// Suspects are what the broken attempts held.
	Suspects []Suspect
}

// sighting is a crash in which a suspect stood.
type sighting struct {
	endpoint uint64
	at       time.Time
}

// record is what is known of a suspect.
type record struct {
	// sightings are the crashes since it was last cleared, by time.
	sightings []sighting
	// cleared are the endpoint processes whose crashes are not its fault.
	cleared []uint64
	trial   trial
	// restatedAt is when peers were last told that it is cleared.
	restatedAt time.Time
	// stored is set while the store holds the suspect.
	stored bool
}

// rounds returns the number of sightings that are at least roundGap apart.
func (r *record) rounds() int {
	n := 0
	var last time.Time
	for _, s := range r.sightings {
		if n == 0 || s.at.Sub(last) >= roundGap {
			n++
			last = s.at
		}
	}
	return n
}

// pause returns how long to wait until a further crash would be a round of its own; zero for
// suspects of less than spacedCrashes crashes.
func (r *record) pause(now time.Time) time.Duration {
	if len(r.sightings) < spacedCrashes {
		return 0
	}
	return max(roundGap-now.Sub(r.lastAt()), 0)
}

func (r *record) condemned() bool { return r.rounds() >= condemnRounds }

// expired reports whether the last sighting is too long ago to count.
func (r *record) expired(now time.Time) bool {
	if len(r.sightings) == 0 {
		return false
	}
	ttl := suspectTTL
	if r.condemned() {
		ttl = condemnedTTL
	}
	return now.Sub(r.lastAt()) > ttl
}

// lastAt returns the time of the last sighting; zero without one.
func (r *record) lastAt() time.Time {
	if len(r.sightings) == 0 {
		return time.Time{}
	}
	return r.sightings[len(r.sightings)-1].at
}

// sees reports whether the suspect stood in the crash of an endpoint process.
func (r *record) sees(endpoint uint64) bool {
	return slices.ContainsFunc(r.sightings, func(s sighting) bool { return s.endpoint == endpoint })
}

// add adds a sighting unless it is known or cleared, and reports whether it did.
func (r *record) add(endpoint uint64, at time.Time) bool {
	if slices.Contains(r.cleared, endpoint) || r.sees(endpoint) {
		return false
	}
	r.sightings = append(r.sightings, sighting{endpoint, at})
	slices.SortStableFunc(r.sightings, func(a, b sighting) int { return a.at.Compare(b.at) })
	r.sightings = r.sightings[max(len(r.sightings)-maxCrashes, 0):]
	return true
}

// clear moves all sightings to the cleared ones.
func (r *record) clear() {
	for _, s := range r.sightings {
		r.cleared = append(r.cleared, s.endpoint)
	}
	r.cleared = r.cleared[max(len(r.cleared)-maxCleared, 0):]
	r.sightings, r.trial = nil, trial{}
}

// covers reports whether the suspect stood in all crashes in which other did.
func (r *record) covers(other *record) bool {
	return !slices.ContainsFunc(other.sightings, func(s sighting) bool { return !r.sees(s.endpoint) })
}

// Change is a suspect whose state has changed.
type Change struct {
	Suspect Suspect
	// Rounds is the number of its rounds of crashes; 0 if it was cleared.
	Rounds int
	// Condemned is true from condemnRounds on.
	Condemned bool
	// ByPeer is true if a peer or the store stated what changes it.
	ByPeer bool
}

// Table holds the suspects, and what to state about them to the peers.
type Table struct {
	// suspects holds those of fewer than standingRounds rounds, standing the others, so that
	// many suspects of one outage do not push out those of several crashes.
	suspects *simplelru.LRU[Suspect, *record]
	standing *simplelru.LRU[Suspect, *record]
	outbox
	// unstored holds the standing suspects of which the store lacks a change that this
	// gateway observed itself; unstoredCrash is set while it lacks any crash.
	unstored      map[Suspect]struct{}
	unstoredCrash bool
}

// New returns an empty Table.
func New() *Table {
	// NewLRU fails only if the size is not positive.
	suspects, _ := simplelru.NewLRU[Suspect, *record](maxSuspects, nil)
	standing, _ := simplelru.NewLRU[Suspect, *record](maxStanding, nil)
	return &Table{suspects: suspects, standing: standing, unstored: make(map[Suspect]struct{})}
}

// record returns the record of a suspect; nil if there is none.
func (t *Table) record(s Suspect) *record {
	if r, ok := t.standing.Peek(s); ok {
		return r
	}
	r, _ := t.suspects.Peek(s)
	return r
}

// put keeps a record among the standing ones or the others, by its rounds.
func (t *Table) put(s Suspect, r *record) {
	if r.rounds() >= standingRounds {
		t.suspects.Remove(s)
		t.standing.Add(s, r)
		return
	}
	t.standing.Remove(s)
	t.suspects.Add(s, r)
}

// RecordLocal records a crash that broke an attempt of this gateway, to be stated to the
// peers, and returns the suspects whose state changes.
func (t *Table) RecordLocal(c Crash) []Change {
	t.addReport(c)
	t.unstoredCrash = true
	changes := t.apply(c, false)
	for _, change := range changes {
		t.setUnstored(change.Suspect)
	}
	return changes
}

// Record records a crash that a peer stated.
func (t *Table) Record(c Crash) []Change { return t.apply(c, true) }

// apply adds a crash to its suspects. It returns those of at least standingRounds rounds
// whose number of rounds changes.
func (t *Table) apply(c Crash, byPeer bool) []Change {
	var changes []Change
	for _, s := range c.Suspects {
		r := t.record(s)
		if r == nil || r.expired(c.At) {
			r = &record{}
		}
		before := r.rounds()
		if !r.add(c.Endpoint, c.At) {
			continue
		}
		t.put(s, r)
		if n := r.rounds(); n != before && n >= standingRounds {
			changes = append(changes, Change{Suspect: s, Rounds: n, Condemned: n >= condemnRounds, ByPeer: byPeer})
		}
	}
	return changes
}

// RecordSuccess clears the suspects of a request that an endpoint answered to its end, and
// states to the peers that they are cleared. It returns those that had standingRounds
// rounds or more.
func (t *Table) RecordSuccess(suspects []Suspect) []Change {
	var changes []Change
	for _, s := range suspects {
		r := t.record(s)
		if r == nil || len(r.sightings) == 0 {
			continue
		}
		t.addCleared(s, r.rounds() >= standingRounds)
		changes = append(changes, t.clear(s, r, false)...)
		delete(t.unstored, s)
		if r.stored {
			t.setUnstored(s)
		}
	}
	return changes
}

// RecordCleared clears a suspect that a peer stated as cleared.
func (t *Table) RecordCleared(s Suspect) []Change {
	r := t.record(s)
	if r == nil || len(r.sightings) == 0 {
		return nil
	}
	return t.clear(s, r, true)
}

func (t *Table) clear(s Suspect, r *record, byPeer bool) []Change {
	wasStanding := r.rounds() >= standingRounds
	r.clear()
	t.put(s, r)
	if !wasStanding {
		return nil
	}
	return []Change{{Suspect: s, ByPeer: byPeer}}
}

// Condemned returns the number of condemned requests and parts.
func (t *Table) Condemned() (requests, parts int) {
	t.eachStanding(func(s Suspect, r *record) {
		switch {
		case !r.condemned():
		case s.IsPart:
			parts++
		default:
			requests++
		}
	})
	return requests, parts
}

// expire drops the standing suspects whose last crash is too long ago.
func (t *Table) expire(now time.Time) {
	t.eachStanding(func(s Suspect, r *record) {
		if r.expired(now) {
			t.standing.Remove(s)
		}
	})
}

func (t *Table) eachStanding(visit func(Suspect, *record)) {
	for _, s := range t.standing.Keys() {
		if r, ok := t.standing.Peek(s); ok {
			visit(s, r)
		}
	}
}
