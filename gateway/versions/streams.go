package versions

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxTakenUp bounds the attempts that took a stream up here and have to be kept in the
	// store; those that did so longest ago are left out. It bounds the row of a gateway to
	// about 16 KB.
	maxTakenUp = 256
	// maxAliases bounds the attempts that are followed to the one that began a stream. An
	// attempt refers to the first one as far as its gateway knows that, so that more than two
	// are rare.
	maxAliases = 8
	// maxNameBytes bounds the names that are remembered and stated; a stream with a longer
	// one is known by its hash only.
	maxNameBytes = 64
	// maxRestated bounds what is stated again at once for gateways that start; what is most
	// recent is stated.
	maxRestated = 192
	// LaterNamesFor is how long a site counts as one whose callers name later attempts than the
	// one that began a stream.
	LaterNamesFor = 10 * time.Minute
	// restatesPerEntry is the number of gateways that state again what they heard themselves,
	// on average.
	restatesPerEntry = 3
)

// stream is what is known of an attempt of a caller that began a stream, or took one up.
type stream struct {
	version string
	// unknown is set for an attempt that took up a stream whose version its gateway did not know.
	unknown bool
	at      time.Time
	source  Source
	// alias is set for an attempt that took a stream up. Root is the hash of the attempt that
	// began it, zero if the caller did not name one, and rootName its id; empty if only the hash
	// is known.
	alias    bool
	root     uint64
	rootName string
	// service is the hash of the service, zero if unknown.
	service uint64
	// stated is set if this gateway stated it to its peers, and heard if it was told of it.
	stated, heard bool
}

// takenUpStream is an attempt that took a stream up here, or began one, and whose name alone
// would not give the version of that stream.
type takenUpStream struct{ stated, stored bool }

// takenUpStreams are such attempts, by streamID.
type takenUpStreams struct {
	*simplelru.LRU[uint64, *takenUpStream]
}

func newTakenUpStreams() takenUpStreams {
	// NewLRU fails only if the size is not positive.
	streams, _ := simplelru.NewLRU[uint64, *takenUpStream](maxTakenUp, nil)
	return takenUpStreams{streams}
}

// streamID returns the hash by which a stream is remembered: of the id of the caller's
// attempt that brought its first event.
func streamID(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// ServiceID returns the hash by which the service of a stream is stated.
func ServiceID(service string) uint64 { return xxhash.Sum64String(service) }

// Origin is what is known of a stream by the name that its caller gives.
type Origin struct {
	// Root is the hash of the attempt that began the stream; zero if that is not named.
	Root uint64
	// Name is the id of that attempt; empty if it is not known.
	Name string
	// Known is set if the version is known without the name. Source is then how.
	Version string
	Known   bool
	Source  Source
	// Service is the hash of the service of the stream, zero if unknown.
	Service uint64
}

// Origin returns what is known of the stream that an attempt began or took up. A name that is
// not known is taken for that of an attempt that began a stream.
func (t *Table) Origin(now time.Time, attempt string) Origin {
	if attempt == "" {
		return Origin{Source: SourceName}
	}
	o := Origin{Root: streamID(attempt), Name: attempt, Source: SourceName}
	for range maxAliases {
		known, ok := t.remembered(o.Root)
		if !ok {
			return o
		}
		o.Service = cmp.Or(o.Service, known.service)
		if o.Source == SourceName {
			o.Source = known.source
		}
		if known.alias {
			o.Root, o.Name, o.Source = known.root, known.rootName, SourceAlias
		}
		if !known.unknown {
			o.Version, o.Known = known.version, true
			return o
		}
		if !known.alias || o.Root == 0 {
			return o
		}
	}
	// The names lead in a circle, so that none of them began the stream.
	return Origin{Source: SourceAlias, Service: o.Service}
}

// remembered returns what is known of an attempt.
func (t *Table) remembered(id uint64) (stream, bool) { return t.streams.Get(id) }

// Began records the version at which a stream began or went on, by the caller's attempt that
// brought the event.
func (t *Table) Began(now time.Time, attempt, service, version string) {
	if attempt == "" {
		return
	}
	id := streamID(attempt)
	known, ok := t.remembered(id)
	if ok && known.alias {
		t.wentOn(now, attempt, service, known, version)
		return
	}
	t.streams.Add(id, stream{version: version, at: now, source: SourceOwn, service: ServiceID(service), stated: known.stated})
	t.addBegun(now, attempt, service, version)
}

// keep lets an attempt be stated to the peers and stored.
func (t *Table) keep(id uint64) {
	t.taken.Add(id, &takenUpStream{})
	t.addStated(id, stateRepeat)
}

// wentOn records that a stream which an attempt took up had an event.
func (t *Table) wentOn(now time.Time, attempt, service string, s stream, version string) {
	if s.root != 0 {
		root, ok := t.streams.Peek(s.root)
		if !ok || !root.alias {
			t.streams.Add(s.root, stream{version: version, at: now, source: SourceOwn, service: s.service, stated: root.stated})
			if s.rootName != "" {
				t.addBegun(now, s.rootName, service, version)
			}
		}
	}
	if s.unknown || s.version != version {
		t.takenUp(now, attempt, service, Origin{Root: s.root, Name: s.rootName, Version: version, Known: true})
	}
	t.addBegun(now, attempt, service, version)
	if s.root != 0 && s.rootName == "" && !t.named(now, service, "", version) {
		// Whether the name of the first attempt gives the version is not known.
		t.addStated(streamID(attempt), 1)
	}
}

// addBegun remembers an attempt whose stream may have to be stated if the versions change, and
// states it if its name does not give the version now.
func (t *Table) addBegun(now time.Time, attempt, service, version string) {
	id := streamID(attempt)
	b := &begunStream{name: attempt, service: service, version: version, at: now}
	if before, ok := t.begun.Peek(id); ok {
		b.stated = before.stated && before.version == version
	}
	t.begun.Add(id, b)
	if !b.stated && !t.named(now, service, attempt, version) {
		t.stateBegun(now, b)
	}
}

// TakenUp records an attempt that takes a stream up, before it is sent to an endpoint or
// refused: its caller may name it instead of the one that began the stream. The version is that
// of Resolve, or unknown. It is stated to the peers and kept in the store if the name of the
// attempt would not give the version.
func (t *Table) TakenUp(now time.Time, attempt, resumes, service, version string, known bool) {
	o := t.Origin(now, resumes)
	if named, ok := t.remembered(streamID(resumes)); ok && named.alias && resumes != attempt {
		t.LaterNamed(now, now)
	}
	if attempt == "" || streamID(attempt) == o.Root {
		return
	}
	o.Version, o.Known = version, known
	t.takenUp(now, attempt, service, o)
}

func (t *Table) takenUp(now time.Time, attempt, service string, o Origin) {
	id := streamID(attempt)
	before, ok := t.remembered(id)
	switch {
	case ok && !before.alias:
		// The attempt began a stream, so that its caller uses the id again.
		return
	case ok && !before.unknown && !o.Known || ok && before.root == o.Root && before.unknown != o.Known && before.version == o.Version:
		return
	}
	s := stream{version: o.Version, unknown: !o.Known, at: now, source: SourceAlias, alias: true, root: o.Root}
	if len(o.Name) <= maxNameBytes {
		s.rootName = o.Name
	}
	if service != "" {
		s.service = ServiceID(service)
	}
	t.streams.Add(id, s)
	if o.Known {
		t.addBegun(now, attempt, service, o.Version)
		return
	}
	t.keep(id)
}

// Keep lets an attempt that took a stream up be stated and stored although its name gives the
// version of the stream: it does not give the service.
func (t *Table) Keep(attempt string) {
	id := streamID(attempt)
	s, ok := t.streams.Peek(id)
	if _, kept := t.taken.Peek(id); ok && s.alias && !kept {
		t.keep(id)
	}
}

// LaterNamed records that a caller named an attempt at a time that did not begin its stream. From then on
// a name that no gateway knows may be that of any attempt, such as one that reached no gateway
// or was lost with one. It then tells nothing if several versions are possible, and what runs or
// begins is stated and stored instead.
func (t *Table) LaterNamed(now, at time.Time) {
	if !at.After(t.laterNamedAt) {
		return
	}
	distrusted := t.DistrustsNames(now)
	t.laterNamedAt = at
	if distrusted || !t.DistrustsNames(now) {
		return
	}
	for _, id := range t.begun.Keys() {
		b, _ := t.begun.Peek(id)
		if now.Sub(b.at) <= t.LongestAge() && !t.named(now, b.service, b.name, b.version) {
			t.stateBegun(now, b)
		}
	}
}

// LaterNamedAt returns the latest time of LaterNamed; zero if there was none.
func (t *Table) LaterNamedAt() time.Time { return t.laterNamedAt }

// trusted returns the name of an attempt, empty if it tells nothing.
func (t *Table) trusted(now time.Time, attempt string) string {
	if t.DistrustsNames(now) {
		return ""
	}
	return attempt
}

// DistrustsNames reports whether callers lately named later attempts.
func (t *Table) DistrustsNames(now time.Time) bool {
	return !t.laterNamedAt.IsZero() && now.Sub(t.laterNamedAt) < LaterNamesFor
}

// Broke records that a stream that this gateway ran broke off, so that its caller may take
// it up at a peer.
func (t *Table) Broke(attempt string) {
	if _, ok := t.streams.Peek(streamID(attempt)); ok && attempt != "" {
		t.addStated(streamID(attempt), stateRepeat)
	}
}

// SourceOf returns how the version of a stream is known, if Resolve returns one.
func (t *Table) SourceOf(now time.Time, attempt string) Source { return t.Origin(now, attempt).Source }

// Kept reports whether an attempt that took a stream up here was stated to the peers and
// stored, as far as that is asked and its name alone does not give the version of the stream.
func (t *Table) Kept(attempt string, stated, stored bool) bool {
	s, ok := t.taken.Peek(streamID(attempt))
	return !ok || (s.stated || !stated) && (s.stored || !stored)
}

// Restate states again, for gateways that start, what this gateway remembers of the streams of
// the longest age that any stream can have. What it only heard itself is stated by a few of the
// gateways.
func (t *Table) Restate(now time.Time, gateways int, rng *rand.Rand) {
	keys := t.streams.Keys()
	slices.Reverse(keys)
	left, longestAge := maxRestated, t.LongestAge()
	for _, id := range keys {
		s, _ := t.streams.Peek(id)
		if !s.stated && !s.heard || now.Sub(s.at) > longestAge {
			continue
		}
		if !s.stated && rng.Float64() >= restatesPerEntry/float64(max(gateways, 1)) {
			continue
		}
		t.addStated(id, 1)
		if left--; left == 0 {
			return
		}
	}
}

// LongestAge returns how old a stream of any service can be.
func (t *Table) LongestAge() time.Duration {
	age := time.Duration(0)
	for _, s := range t.services {
		age = max(age, s.longestAge())
	}
	return cmp.Or(age, streamTTL)
}

// RecordBroken records a stream of a peer, or of the store: one that broke off, that a change
// moved, or that was taken up.
func (t *Table) RecordBroken(now time.Time, b BrokenStream) {
	if b.ID == 0 || b.Age < 0 || b.Age > streamTTL || b.RootName != "" && (len(b.RootName) > maxNameBytes || streamID(b.RootName) != b.Root) {
		return
	}
	alias := b.Root != 0 || b.Unknown
	at := now.Add(-b.Age)
	before, ok := t.remembered(b.ID)
	switch {
	case ok && !before.unknown && (b.Unknown || before.source == SourceOwn):
		// What this gateway passed on itself is certain.
		return
	case ok && before.version == b.Version && before.unknown == b.Unknown && before.alias == alias && before.root == b.Root:
		// What is stated again does not become more recent.
		return
	}
	s := stream{version: b.Version, unknown: b.Unknown, at: at, source: SourcePeer, alias: alias, root: b.Root, rootName: b.RootName, service: b.Service, stated: before.stated, heard: true}
	if alias {
		s.source = SourceAlias
	}
	t.streams.Add(b.ID, s)
	if root, ok := t.remembered(b.Root); alias && !b.Unknown && b.Root != 0 && (!ok || root.unknown) {
		t.streams.Add(b.Root, stream{version: b.Version, at: at, source: SourcePeer, alias: root.alias, root: root.root, rootName: root.rootName, service: b.Service, heard: true})
	}
}

// AliasesUnstored reports whether the store lacks attempts that took a stream up here.
func (t *Table) AliasesUnstored() bool {
	return slices.ContainsFunc(t.taken.Values(), func(s *takenUpStream) bool { return !s.stored })
}

// AliasesToStore returns the attempts to keep in the store. They count as stored unless
// AliasesNotStored follows.
func (t *Table) AliasesToStore(now time.Time) []BrokenStream {
	var list []BrokenStream
	for _, id := range t.taken.Keys() {
		s, ok := t.streams.Peek(id)
		if !ok || now.Sub(s.at) > t.LongestAge()+ageMargin {
			t.taken.Remove(id)
			continue
		}
		list = append(list, s.statedAs(now, id))
	}
	return list
}

// AliasesStored records that the store has attempts.
func (t *Table) AliasesStored(list []BrokenStream) {
	for _, b := range list {
		if s, ok := t.taken.Peek(b.ID); ok {
			s.stored = true
		}
	}
}

// AliasesNotStored records that the store may lack all attempts.
func (t *Table) AliasesNotStored() {
	for _, s := range t.taken.Values() {
		s.stored = false
	}
}

// RecordOwnAlias records an attempt that the process before this one kept in the store.
func (t *Table) RecordOwnAlias(now time.Time, b BrokenStream) {
	t.RecordBroken(now, b)
	if _, ok := t.taken.Peek(b.ID); !ok && b.Age <= t.LongestAge() {
		t.taken.Add(b.ID, &takenUpStream{stated: true, stored: true})
	}
}

// statedAs returns what is stated of an attempt.
func (s *stream) statedAs(now time.Time, id uint64) BrokenStream {
	b := BrokenStream{ID: id, Version: s.version, Root: s.root, Unknown: s.unknown, Service: s.service, Age: max(now.Sub(s.at), 0)}
	if s.unknown {
		b.RootName = s.rootName
	}
	return b
}
