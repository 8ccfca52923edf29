package versions

import (
	"cmp"
	"slices"
	"time"
)

const (
	// stateRepeat is the number of successive statements that include a change or a broken
	// stream, so that the loss of a datagram does not lose it.
	stateRepeat = 3
	// maxBroken bounds the broken and the moved streams that wait to be stated; the oldest are
	// dropped. maxStatedBroken bounds those in one statement.
	maxBroken       = 1024
	maxStatedBroken = 48
	// standingInterval and standingPerGateway determine how often a gateway states all
	// designations, for gateways that start: each second, or as often as keeps the sum over
	// all gateways at about 20 a second.
	standingInterval   = time.Second
	standingPerGateway = 50 * time.Millisecond
	// maxStatedShares bounds the shares in one statement. Each span and each service takes the
	// room of one share besides.
	maxStatedShares = 96
)

// outbox holds what is to be stated to the peers.
type outbox struct {
	broken []*brokenStream
	// urgent is set while there is something that the peers should know soon.
	urgent           bool
	standingStatedAt time.Time
	// nextService rotates the services if not all fit into a statement.
	nextService int
}

// brokenStream is a stream to be stated, by streamID.
type brokenStream struct {
	id     uint64
	stated int
	// fresh is set until it was stated once.
	fresh bool
}

// BrokenStream is a stream that broke off, that a change moved or that was taken up, by the
// hash of the attempt that did so.
type BrokenStream struct {
	ID      uint64
	Version string
	// Root is the hash of the attempt that began a stream which the attempt took up, zero
	// if it began the stream itself. Unknown is set if the version is not known, with Root
	// zero if the caller named no attempt. RootName is then the id of the first attempt,
	// empty if only its hash is known.
	Root     uint64
	Unknown  bool
	RootName string
	// Service is the hash of the service, zero if unknown.
	Service uint64
	// Age is the time since the attempt.
	Age time.Duration
}

// addStated adds a stream to be stated a number of times.
func (o *outbox) addStated(id uint64, times int) {
	o.urgent = true
	o.broken = slices.DeleteFunc(o.broken, func(b *brokenStream) bool { return b.id == id })
	o.broken = append(o.broken, &brokenStream{id, stateRepeat - times, true})
	o.broken = o.broken[max(len(o.broken)-maxBroken, 0):]
}

// HasUnstated reports whether something new was not stated to the peers yet.
func (t *Table) HasUnstated() bool { return t.urgent }

// Designations are those of one service, the current one last.
type Designations struct {
	Service  string
	Sequence uint64
	Spans    []Span
	// MaxDeadline is the longest time that a caller allows for a stream.
	MaxDeadline time.Duration
	// Stored is true if the store has them.
	Stored bool
	// HeardAt is when a peer or the store told them.
	HeardAt time.Time
}

// Span is a designation.
type Span struct {
	Shares []Share
	// From is when it began; zero for the first one, which needed no record.
	From time.Time
}

// Statement is what a gateway states to its peers.
type Statement struct {
	Broken       []BrokenStream
	Designations []Designations
	// Complete is true if Designations holds all that were ever recorded.
	Complete bool
}

// Statement returns what to state now, given the number of gateways.
func (t *Table) Statement(now time.Time, gateways int) Statement {
	t.stateMoved(now)
	s := Statement{Broken: t.takeBroken(now)}
	standing := t.complete && now.Sub(t.standingStatedAt) >= max(standingInterval, time.Duration(gateways)*standingPerGateway)
	names := t.sortedServices(func(s *service) bool { return s.sequence > 0 && (standing || s.stated < stateRepeat) })
	s.Designations = t.designations(t.rotate(names))
	if standing {
		t.standingStatedAt = now
		s.Complete = len(s.Designations) == len(names)
	}
	t.urgent = slices.ContainsFunc(t.broken, func(b *brokenStream) bool { return b.fresh })
	return s
}

// takeBroken returns the broken streams to state: those that were not stated yet first, and of
// these the latest, whose callers come next.
func (t *Table) takeBroken(now time.Time) []BrokenStream {
	o := &t.outbox
	order := slices.Clone(o.broken)
	slices.Reverse(order)
	slices.SortStableFunc(order, func(a, b *brokenStream) int { return a.stated - b.stated })
	var taken []BrokenStream
	for _, b := range order[:min(len(order), maxStatedBroken)] {
		b.stated++
		b.fresh = false
		if s, ok := t.streams.Peek(b.id); ok {
			taken = append(taken, s.statedAs(now, b.id))
			t.markStated(b.id, s)
		}
	}
	o.broken = slices.DeleteFunc(o.broken, func(b *brokenStream) bool { return b.stated >= stateRepeat })
	return taken
}

// markStated records that a stream was stated to the peers.
func (t *Table) markStated(id uint64, s stream) {
	if s.source != SourcePeer && !s.stated {
		s.stated = true
		t.streams.Add(id, s)
	}
	if taken, ok := t.taken.Peek(id); ok {
		taken.stated = true
	}
}

// rotate returns the names from another one on with each call.
func (t *Table) rotate(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	start := t.nextService % len(names)
	return slices.Concat(names[start:], names[:start])
}

// designations returns those of the first services that fit into a statement, which count as
// stated.
func (t *Table) designations(names []string) []Designations {
	var list []Designations
	room := maxStatedShares
	for _, name := range names {
		s := t.services[name]
		if room -= s.statedSize(); room < 0 {
			break
		}
		d := Designations{Service: name, Sequence: s.sequence, MaxDeadline: s.maxDeadline, Stored: !s.unstored}
		for _, span := range s.spans {
			d.Spans = append(d.Spans, Span{span.shares, span.from})
		}
		s.stated++
		list = append(list, d)
	}
	if len(list) < len(names) {
		t.nextService += max(len(list), 1)
	}
	return list
}

// statedSize returns the room that the designations of a service take in a statement.
func (s *service) statedSize() int {
	size := 1
	for _, span := range s.spans {
		size += 1 + len(span.shares)
	}
	return size
}

// RecordComplete records that the designations that a peer or the store stated are all
// there are.
func (t *Table) RecordComplete() { t.complete = true }

// Record applies the designations that a peer or the store stated. Those with the higher
// sequence hold. Of two with the same one, which gateways made without hearing of each
// other, both count for streams that began since, and one of them for new ones.
func (t *Table) Record(d Designations) (Change, bool) {
	s := t.service(d.Service)
	if s == nil || !d.valid() {
		return Change{}, false
	}
	s.maxDeadline = max(s.maxDeadline, d.MaxDeadline)
	before := s.latest()
	stated := d.Spans[len(d.Spans)-1]
	switch {
	case d.Sequence < s.sequence:
		return Change{}, false
	case d.Sequence == s.sequence && slices.Equal(stated.Shares, before):
		s.beginsBy(stated.From)
		if d.Stored && d.MaxDeadline >= s.maxDeadline {
			s.unstored = false
		}
		return Change{}, false
	case d.Sequence == s.sequence:
		s.addSibling(span{shares: stated.Shares, from: stated.From, lateBy: maxReadDelay}, d.HeardAt)
	default:
		s.replace(d)
	}
	s.stated = 0
	if slices.Equal(s.latest(), before) {
		return Change{}, false
	}
	t.urgent = true
	return Change{Service: d.Service, Shares: s.latest(), Sequence: s.sequence, ByPeer: true}, true
}

// beginsBy corrects the beginning of the current span: of several that were stated, the earliest
// was read with the least delay.
func (s *service) beginsBy(from time.Time) {
	if last := &s.spans[len(s.spans)-1]; from.Before(last.from) && !from.IsZero() {
		last.from = from
	}
}

// replace takes over designations with a higher sequence. One that this gateway made without
// hearing of them is kept among them, as it may have begun streams with it.
func (s *service) replace(d Designations) {
	own, lost := span{}, false
	if s.unstored && len(s.spans) > 0 {
		own = s.spans[len(s.spans)-1]
		own.until = d.HeardAt
		lost = !slices.ContainsFunc(d.Spans, func(x Span) bool { return slices.Equal(x.Shares, own.shares) })
	}
	heard := s.spans
	s.spans = nil
	for _, x := range d.Spans[max(len(d.Spans)-maxSpans+1, 0):] {
		s.spans = append(s.spans, span{shares: x.Shares, from: x.From, lateBy: maxReadDelay})
	}
	if s.sequence > 0 {
		s.followedUnheard(heard, d.HeardAt)
	}
	s.sequence, s.unstored = d.Sequence, !d.Stored
	if lost {
		s.followedApart(0, d.HeardAt)
		s.spans = slices.Insert(s.spans, len(s.spans)-1, own)
		s.sequence, s.unstored = d.Sequence+1, true
	}
}

const (
	// maxSequence bounds stated sequences: no site changes its shares so often, and none could
	// follow a number that leaves no room for later ones.
	maxSequence = 1 << 40
	// maxStatedDeadline bounds stated deadlines of streams. Callers allow seconds to minutes.
	maxStatedDeadline = 24 * time.Hour
	// maxWeight bounds a stated share, which is a number of endpoints.
	maxWeight = 1 << 20
)

// valid reports whether a peer or the store can have recorded the designations.
func (d *Designations) valid() bool {
	invalid := func(x Share) bool { return x.Weight <= 0 || x.Weight > maxWeight }
	if d.MaxDeadline < 0 || d.MaxDeadline > maxStatedDeadline {
		return false
	}
	return d.Sequence > 0 && d.Sequence <= maxSequence && len(d.Spans) > 0 && !slices.ContainsFunc(d.Spans, func(s Span) bool {
		return len(s.Shares) == 0 || len(s.Shares) > maxShares || slices.ContainsFunc(s.Shares, invalid)
	})
}

// followedApart records that other gateways followed the spans from an index on until now.
func (s *service) followedApart(from int, now time.Time) {
	for i := range s.spans[from:] {
		s.spans[from+i].until = now
	}
}

// followedUnheard records that spans of which this gateway had not heard may have been followed
// until now by gateways that had not heard of the later ones.
func (s *service) followedUnheard(heard []span, now time.Time) {
	for i := range s.spans[:len(s.spans)-1] {
		if !slices.ContainsFunc(heard, func(x span) bool { return slices.Equal(x.shares, s.spans[i].shares) }) {
			s.spans[i].until = now
		}
	}
}

// addSibling adds a designation that another gateway made with the same sequence. Until now both
// were followed, as well as what the other gateways designated before.
func (s *service) addSibling(other span, now time.Time) {
	last := s.spans[len(s.spans)-1]
	if slices.ContainsFunc(s.spans, func(x span) bool { return slices.Equal(x.shares, other.shares) && x.from.Equal(other.from) }) {
		return
	}
	if slices.CompareFunc(other.shares, last.shares, compareShares) < 0 {
		other, last = last, other
	}
	s.spans = append(s.spans[:len(s.spans)-1], last, other)
	s.followedApart(len(s.spans)-2, now)
	s.spans = s.spans[max(len(s.spans)-maxSpans, 0):]
}

func compareShares(a, b Share) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Weight, b.Weight))
}
