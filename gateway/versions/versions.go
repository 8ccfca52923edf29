// Package versions decides at which version of an endpoint's software a stream runs, so that
// one that breaks off goes on where its text fits.
//
// While endpoints of several versions serve a service, the version at which a new stream
// begins follows from its name: it is drawn by weighted rendezvous hashing, with the shares of
// the versions as weights. The shares change only when they are far from the endpoints that
// serve. Each change is stated to the peers and kept in the store of the platform, so that
// every gateway, also one that has just started, can tell from the name and the age of a stream
// at which version it began. In the moments after a change that is not certain for the streams
// that it moved; then only the gateway that began the stream knows, and states it to the peers
// if the stream breaks. What nobody knows is not guessed: the stream does not go on.
//
// A Table is not safe for concurrent use. Its methods take the time as a parameter.
package versions

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxServices bounds the services, and maxSpans the designations kept of each.
	maxServices = 256
	maxSpans    = 8
	// maxStreams bounds the remembered streams; those that began longest ago are forgotten.
	maxStreams = 16384
	// maxUncertain bounds the streams that are remembered because they were not resolved.
	maxUncertain = 4096
	// streamTTL is how long a try of a stream takes at most while no deadline is known.
	streamTTL = 10 * time.Minute
	// overlap is how long after a change gateways may still begin streams at the version
	// before: until they have heard of it. One that hears nothing begins none; see
	// BlindAfter.
	overlap = 2 * time.Second
	// BlindAfter is the time without a statement of a peer or a call of the store after
	// which a gateway may have missed a change.
	BlindAfter = 1200 * time.Millisecond
	// maxReadDelay is the longest delay with which statements and answers of the store are read.
	maxReadDelay = time.Second
	// pauseDivisor is the part of its deadline that a caller waits at most before the next try.
	pauseDivisor = 3
	// ageMargin is added to the longest age of a stream.
	ageMargin = 500 * time.Millisecond
	// maxDrift is how far the share of a version may be from that of its endpoints, and
	// settledDrift the same once the shares have not changed for settleTime. Each change makes
	// the version of the streams that it moves uncertain for a while.
	maxDrift     = 0.25
	settledDrift = 0.1
	settleTime   = 10 * time.Second
	// minEndpoints is the number of endpoints from which a version gets new streams, if
	// another one has as many: a stream can't go on where the only one has failed.
	minEndpoints = 2
	// maxShares bounds the versions among which new streams are shared.
	maxShares = 8
)

// Share is the weight of a version for new streams: the number of its endpoints when it was
// designated.
type Share struct {
	Version string
	Weight  int
}

// shares are the versions of new streams, by name.
type shares []Share

// weight returns the weight of a version, and the sum of all.
func (s shares) weight(version string) (weight, total int) {
	for _, x := range s {
		total += x.Weight
		if x.Version == version {
			weight = x.Weight
		}
	}
	return weight, total
}

// pick returns the version at which a stream begins, by weighted rendezvous hashing; empty if
// there is none.
func (s shares) pick(stream string) string {
	if len(s) == 1 {
		return s[0].Version
	}
	best, bestScore := "", math.Inf(1)
	for _, x := range s {
		h := xxhash.Sum64String(x.Version + "\x00" + stream)
		// The hash as a number above 0 and at most 1.
		u := (float64(h>>11) + 1) / (1 << 53)
		if score := -math.Log(u) / float64(x.Weight); score < bestScore {
			best, bestScore = x.Version, score
		}
	}
	return best
}

// drift returns how far the share of any version is from that in other.
func (s shares) drift(other shares) float64 {
	worst := 0.0
	for _, x := range slices.Concat(s, other) {
		own, total := s.weight(x.Version)
		others, otherTotal := other.weight(x.Version)
		worst = max(worst, math.Abs(float64(own)/float64(total)-float64(others)/float64(otherTotal)))
	}
	return worst
}

// span is a time in which new streams begin at versions with the same shares. From may be in
// the future, so that all gateways know it in time.
type span struct {
	shares shares
	from   time.Time
	// lateBy is how much earlier it may begin: a statement, or an answer of the store, that is
	// read late tells the beginning too late.
	lateBy time.Duration
	// until is when the gateways that followed it and those of the next span heard of each other;
	// zero if they did all the time.
	until time.Time
}

// service holds the designations of a service.
type service struct {
	// spans are the designations, the current one last.
	spans []span
	// sequence is the number of designations that were recorded; zero while there was never
	// more than one version, so that none had to be.
	sequence uint64
	// maxDeadline is the longest time that a caller allows for one try.
	maxDeadline time.Duration
	// unstored is set while the store lacks the latest designation, as far as is known.
	unstored bool
	// stated counts the statements since the last change.
	stated int
}

// Count is the number of endpoints of a version, and of those that take new work.
type Count struct{ Listed, Ready int }

// Change is a new designation.
type Change struct {
	Service  string
	Shares   []Share
	Sequence uint64
	// ByPeer is true if a peer or the store stated it.
	ByPeer bool
	// Urgent is true if new streams have no endpoint without the change.
	Urgent bool
}

// Source is how the version of a stream is known.
type Source string

// Sources of the version of a stream.
const (
	// SourceOwn streams had events through this gateway.
	SourceOwn Source = "own"
	// SourcePeer streams were stated by the gateway that they had events through.
	SourcePeer Source = "peer"
	// SourceAlias streams are known by an attempt that took them up.
	SourceAlias Source = "alias"
	// SourceName is the version that follows from the name of a stream.
	SourceName Source = "name"
)

// Table holds the designated versions of the services and the versions of streams.
type Table struct {
	services map[string]*service
	streams  *simplelru.LRU[uint64, stream]
	begun    begunStreams
	taken    takenUpStreams
	// laterNamedAt is when a caller last named an attempt that did not begin its stream.
	laterNamedAt time.Time
	// uncertain are the streams that were not resolved, by streamID.
	uncertain *simplelru.LRU[uint64, struct{}]
	// complete is set once the designations of the site were read from the store or a peer.
	complete bool
	outbox
}

// New returns an empty Table.
func New() *Table {
	// NewLRU fails only if the size is not positive.
	streams, _ := simplelru.NewLRU[uint64, stream](maxStreams, nil)
	uncertain, _ := simplelru.NewLRU[uint64, struct{}](maxUncertain, nil)
	return &Table{
		services: make(map[string]*service), streams: streams, begun: newBegunStreams(), taken: newTakenUpStreams(), uncertain: uncertain,
	}
}

// service returns a service, which it adds if it is not known; nil at maxServices.
func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil && len(t.services) < maxServices {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// latest returns the shares that were designated last; nil if none are known.
func (s *service) latest() shares {
	if len(s.spans) == 0 {
		return nil
	}
	return s.spans[len(s.spans)-1].shares
}

// active returns the shares of streams that begin now. There is a span.
func (s *service) active(now time.Time) shares {
	for i := len(s.spans) - 1; i > 0; i-- {
		if !s.spans[i].from.After(now) {
			return s.spans[i].shares
		}
	}
	return s.spans[0].shares
}

// designate begins a span at a time.
func (s *service) designate(from time.Time, next shares) {
	s.spans = append(s.spans, span{shares: next, from: from})
	s.spans = s.spans[max(len(s.spans)-maxSpans, 0):]
	s.sequence++
	s.unstored, s.stated = true, 0
}

// Pick returns the version at which a new stream begins, by the id of its caller's attempt;
// false if none is designated.
func (t *Table) Pick(now time.Time, name, attempt string) (string, bool) {
	s := t.services[name]
	if s == nil || len(s.spans) == 0 {
		return "", false
	}
	return s.active(now).pick(attempt), true
}

// Observe compares the designation of a service with the endpoints of each version. It
// returns the change that is needed, to be made by Adopt, and false if none is. The change is
// urgent if a designated version has no endpoint left. Until the recorded designations are
// known, none is made; see Complete.
func (t *Table) Observe(now time.Time, name string, counts map[string]Count) (change Change, needed bool) {
	s := t.service(name)
	target := sharesOf(counts)
	if s == nil || len(target) == 0 {
		return Change{}, false
	}
	if len(s.spans) == 0 || !t.complete && s.sequence == 0 {
		s.spans = []span{{shares: target}}
		if len(counts) > 1 {
			// Where streams began before that is not known.
			s.spans[0].from = now
		}
	}
	if !t.complete {
		return Change{}, false
	}
	change = Change{Service: name, Shares: target, Sequence: s.sequence + 1}
	gone := func(x Share) bool { return counts[x.Version].Ready == 0 }
	switch {
	case slices.ContainsFunc(s.active(now), gone) || slices.ContainsFunc(s.latest(), gone):
		change.Urgent = true
		return change, true
	case s.latest().drift(target) > s.allowedDrift(now):
		return change, true
	case s.sequence == 0 && len(counts) > 1:
		// The first designation is recorded before another one follows.
		s.sequence, s.unstored, s.stated = 1, true, 0
		t.urgent = true
	}
	return Change{}, false
}

// allowedDrift returns how far the current shares may be from the endpoints that serve.
func (s *service) allowedDrift(now time.Time) float64 {
	if now.Sub(s.spans[len(s.spans)-1].from) < settleTime {
		return maxDrift
	}
	return settledDrift
}

// sharesOf returns the shares that fit the endpoints that take new work.
func sharesOf(counts map[string]Count) shares {
	var all, enough shares
	for version, c := range counts {
		if c.Ready == 0 {
			continue
		}
		all = append(all, Share{version, c.Ready})
		if c.Ready >= minEndpoints {
			enough = append(enough, Share{version, c.Ready})
		}
	}
	if len(enough) > 0 {
		all = enough
	}
	slices.SortFunc(all, func(a, b Share) int { return cmp.Or(b.Weight-a.Weight, cmp.Compare(a.Version, b.Version)) })
	all = all[:min(len(all), maxShares)]
	slices.SortFunc(all, func(a, b Share) int { return cmp.Compare(a.Version, b.Version) })
	return all
}

// Adopt makes a change that Observe found, unless another one was made since. One that is not
// urgent takes effect after a delay, in which the other gateways hear of it.
func (t *Table) Adopt(now time.Time, delay time.Duration, c Change) bool {
	s := t.services[c.Service]
	if s == nil || s.sequence+1 != c.Sequence {
		return false
	}
	from := now
	if !c.Urgent {
		from = now.Add(delay)
	}
	s.designate(from, c.Shares)
	t.urgent = true
	return true
}

// ObserveDeadline records how long a caller allows for a try of a stream of a service.
func (t *Table) ObserveDeadline(name string, d time.Duration) {
	if s := t.service(name); s != nil && d > s.maxDeadline {
		s.maxDeadline = d
		// Until there are two versions, the age of a stream is of no use to other gateways.
		s.unstored = s.unstored || s.sequence > 0
	}
}

// Complete reports whether the recorded designations are known: they were read from the store
// or stated by a peer.
func (t *Table) Complete() bool { return t.complete }

// Resolve returns the version at which a stream began: the one that is remembered, or the
// one that follows from its name if that is the same for all the time in which it can have
// begun. TimeLeft is the time until the deadline of its caller, which says nothing of the time
// before: callers may state a whole deadline with each try. Current is false if changes may
// have been missed. It returns false if several versions are possible.
func (t *Table) Resolve(now time.Time, name, attempt string, timeLeft time.Duration, current bool) (string, bool) {
	t.ObserveDeadline(name, timeLeft)
	origin := t.Origin(now, attempt)
	if origin.Known {
		return origin.Version, true
	}
	s := t.services[name]
	if s == nil || !t.complete || !current {
		return "", false
	}
	if _, ok := t.uncertain.Get(origin.Root); ok {
		return "", false
	}
	attempt = t.trusted(now, origin.Name)
	version, certain := s.pickedSince(s.earliest(now), now, attempt)
	if !certain && len(s.spans) > 0 && attempt != "" {
		// Its caller may come back when it is older than one try.
		t.uncertain.Add(origin.Root, struct{}{})
	}
	return version, certain
}

// end returns when the gateways stopped to follow a span that has a next one, but for those that
// had not heard of the change.
func (s *service) end(i int) time.Time {
	end := s.spans[i+1].from
	if s.spans[i].until.After(end) {
		return s.spans[i].until
	}
	return end
}

// lacksShares reports whether streams may have begun since a time by shares that are not known:
// those before the first ones that are kept.
func (s *service) lacksShares(since time.Time) bool {
	return !s.spans[0].from.Add(overlap).Before(since)
}

// pickedSince returns the version at which a stream began between two times; false if
// several are possible. Attempt is empty for a stream without a known name.
func (s *service) pickedSince(since, now time.Time, attempt string) (string, bool) {
	version, found := "", false
	if len(s.spans) == 0 || s.lacksShares(since) {
		return "", false
	}
	for i, d := range s.spans {
		if i+1 < len(s.spans) && s.end(i).Add(overlap).Before(since) || d.from.Add(-d.lateBy).After(now) {
			continue
		}
		picked := d.shares.pick(attempt)
		if attempt == "" && len(d.shares) > 1 || found && picked != version {
			return "", false
		}
		version, found = picked, true
	}
	return version, found
}

// sortedServices returns the names of the services for which keep holds, sorted.
func (t *Table) sortedServices(keep func(*service) bool) []string {
	var names []string
	for name, s := range t.services {
		if keep(s) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
