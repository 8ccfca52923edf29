// Package versions decides at which version of an endpoint's software a stream runs, so that
// one that breaks off goes on where its text fits.
//
// While endpoints of several versions serve a service, all new streams that may be resumed
// go to one of them, the designated version. It changes only when that version has few
// endpoints left. Each change is stated to the peers and kept in the store of the platform,
// so that every gateway, also one that has just started, can tell from the age of a stream
// at which version it began. In the moments after a change that is not certain; then only
// the gateway that began the stream knows, and states it to the peers if the stream breaks.
// What nobody knows is not guessed: the stream does not go on.
//
// A Table is not safe for concurrent use. Its methods take the time as a parameter.
package versions

import (
	"cmp"
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
	// streamTTL is how long the version of a stream is remembered after its last event.
	streamTTL = 10 * time.Minute
	// overlap is how long after a change gateways may still begin streams at the version
	// before: until they have heard of it. One that hears nothing begins none; see
	// BlindAfter.
	overlap = 2 * time.Second
	// BlindAfter is the time without a statement of a peer or a call of the store after
	// which a gateway may have missed a change.
	BlindAfter = 1200 * time.Millisecond
	// ageMargin is added to the age of a stream that follows from its deadline.
	ageMargin = 500 * time.Millisecond
	// changeRatio is how many times the endpoints of the designated version another one must
	// have to take its place.
	changeRatio = 2
)

// span is a time in which new streams begin at one version.
type span struct {
	version string
	from    time.Time
}

// service holds the designations of a service.
type service struct {
	// spans are the designations, the current one last.
	spans []span
	// sequence is the number of designations that were recorded; zero while there was never
	// more than one version, so that none had to be.
	sequence uint64
	// maxDeadline is the longest time that a caller allows for a stream.
	maxDeadline time.Duration
	// unstored is set while the store lacks the latest designation.
	unstored bool
	// stated counts the statements since the last change.
	stated int
}

// Count is the number of endpoints of a version, and of those that take new work.
type Count struct{ Listed, Ready int }

// Change is a new designation.
type Change struct {
	Service, Version string
	Sequence         uint64
	// ByPeer is true if a peer or the store stated it.
	ByPeer bool
}

// stream is what is known of a stream that began.
type stream struct {
	version string
	at      time.Time
}

// Table holds the designated versions of the services and the versions of streams.
type Table struct {
	services map[string]*service
	streams  *simplelru.LRU[uint64, stream]
	// complete is set once the designations of the site were read from the store or a peer.
	complete bool
	outbox
}

// New returns an empty Table.
func New() *Table {
	// NewLRU fails only if the size is not positive.
	streams, _ := simplelru.NewLRU[uint64, stream](maxStreams, nil)
	return &Table{services: make(map[string]*service), streams: streams}
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

func (s *service) current() string {
	if len(s.spans) == 0 {
		return ""
	}
	return s.spans[len(s.spans)-1].version
}

// designate begins a span.
func (s *service) designate(now time.Time, version string) {
	s.spans = append(s.spans, span{version, now})
	s.spans = s.spans[max(len(s.spans)-maxSpans, 0):]
	s.sequence++
	s.unstored, s.stated = true, 0
}

// Current returns the designated version of a service; false if none is known.
func (t *Table) Current(name string) (string, bool) {
	s := t.services[name]
	if s == nil || len(s.spans) == 0 {
		return "", false
	}
	return s.current(), true
}

// Observe updates the designation of a service by the endpoints of each version. It returns
// the change, and whether it is to be written to the store before it takes effect: while the
// designated version still has endpoints, gateways change together.
func (t *Table) Observe(now time.Time, name string, counts map[string]Count) (change Change, changed, writeFirst bool) {
	s := t.service(name)
	best, ok := most(counts)
	if s == nil || !ok {
		return Change{}, false, false
	}
	if len(s.spans) == 0 {
		s.spans = []span{{version: best}}
		if len(counts) > 1 {
			// Where streams began before that is not known.
			s.spans[0].from = now
		}
	}
	current := s.current()
	switch ready := counts[current].Ready; {
	case best != current && ready == 0:
		s.designate(now, best)
		t.urgent = true
		return Change{Service: name, Version: best, Sequence: s.sequence}, true, false
	case best != current && counts[best].Ready > changeRatio*ready:
		return Change{Service: name, Version: best, Sequence: s.sequence + 1}, false, true
	case s.sequence == 0 && len(counts) > 1:
		// The first designation is recorded before another one follows.
		s.sequence, s.unstored, s.stated = 1, true, 0
		t.urgent = true
	}
	return Change{}, false, false
}

// most returns the version with the most ready endpoints, the first by name among equals;
// false if no endpoint is ready.
func most(counts map[string]Count) (string, bool) {
	best, found := "", false
	for version, c := range counts {
		if c.Ready == 0 {
			continue
		}
		if !found || c.Ready > counts[best].Ready || c.Ready == counts[best].Ready && version < best {
			best, found = version, true
		}
	}
	return best, found
}

// Adopt makes a change that Observe asked to write first, once no later one was found in the
// store.
func (t *Table) Adopt(now time.Time, c Change) bool {
	s := t.services[c.Service]
	if s == nil || s.sequence+1 != c.Sequence || s.current() == c.Version {
		return false
	}
	s.designate(now, c.Version)
	t.urgent = true
	return true
}

// ObserveDeadline records how long a caller allows for a stream of a service.
func (t *Table) ObserveDeadline(name string, d time.Duration) {
	if s := t.service(name); s != nil && d > s.maxDeadline {
		s.maxDeadline = d
		// Until there are two versions, the age of a stream is of no use to other gateways.
		s.unstored = s.unstored || s.sequence > 0
	}
}

// streamID returns the hash by which a stream is remembered: of the id of the caller's
// attempt that brought its first event.
func streamID(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// Began records the version at which a stream began, by the caller's attempt that brought
// its first event.
func (t *Table) Began(now time.Time, attempt, version string) {
	if attempt != "" {
		t.streams.Add(streamID(attempt), stream{version, now})
	}
}

// Broke records that a stream that this gateway ran broke off, so that its caller may take
// it up at a peer.
func (t *Table) Broke(attempt string) {
	if known, ok := t.streams.Peek(streamID(attempt)); ok && attempt != "" {
		t.addBroken(streamID(attempt), known.version)
	}
}

// Resolve returns the version at which a stream began: the one that is remembered, or the
// only one that was designated in the time in which it can have begun. TimeLeft is the time
// until the deadline of its caller. It returns false if several are possible.
func (t *Table) Resolve(now time.Time, name, attempt string, timeLeft time.Duration) (string, bool) {
	if known, ok := t.streams.Get(streamID(attempt)); ok && attempt != "" && now.Sub(known.at) < streamTTL {
		return known.version, true
	}
	s := t.services[name]
	if s == nil || !t.complete {
		return "", false
	}
	return s.designatedSince(now.Add(-max(s.maxDeadline-timeLeft, 0) - ageMargin))
}

// designatedSince returns the version at which all streams since a time began; false if
// there are several.
func (s *service) designatedSince(since time.Time) (string, bool) {
	version, found := "", false
	if len(s.spans) == 0 || since.Before(s.spans[0].from) {
		return "", false
	}
	for i, d := range s.spans {
		ended := i+1 < len(s.spans) && s.spans[i+1].from.Add(overlap).Before(since)
		switch {
		case ended:
		case found && d.version != version:
			return "", false
		default:
			version, found = d.version, true
		}
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
