package versions

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxBegun bounds the streams that began here and may have to be stated; those that began
// longest ago are forgotten.
const maxBegun = 4096

// begunStream is a stream that began at this gateway.
type begunStream struct {
	name, version string
	at            time.Time
	stated        bool
}

// begunStreams are the streams that began here, by streamID.
type begunStreams struct {
	*simplelru.LRU[uint64, *begunStream]
}

func newBegunStreams() begunStreams {
	// NewLRU fails only if the size is not positive.
	streams, _ := simplelru.NewLRU[uint64, *begunStream](maxBegun, nil)
	return begunStreams{streams}
}

// longestTry returns how long one try of a stream of the service can take.
func (s *service) longestTry() time.Duration {
	if s.maxDeadline == 0 {
		return streamTTL
	}
	return s.maxDeadline
}

// longestAge returns how old a stream of the service can be as it is first taken up: a try and
// the pause after it. What its later tries tell is not known from its name alone: the gateways
// that take it up state it.
func (s *service) longestAge() time.Duration {
	return s.longestTry() + s.longestTry()/pauseDivisor
}

// earliest returns when a stream that is first taken up now can have begun at the earliest.
func (s *service) earliest(now time.Time) time.Time { return now.Add(-s.longestAge() - ageMargin) }

// inDoubt reports whether a change of the shares is so recent that a stream which is taken up
// now may have begun before or after it.
func (s *service) inDoubt(now time.Time) bool {
	earliest := s.earliest(now)
	return len(s.spans) > 0 && !s.spans[len(s.spans)-1].from.Add(overlap).Before(earliest) ||
		len(s.spans) > 1 && !s.end(len(s.spans)-2).Add(overlap).Before(earliest)
}

// moves reports whether such a change moves a stream to another version, or whether shares before
// it are not known that may have given another one.
func (s *service) moves(now time.Time, name string) bool {
	if s.lacksShares(s.earliest(now)) {
		return true
	}
	for i := range s.spans[1:] {
		next := s.spans[i+1]
		if !s.end(i).Add(overlap).Before(s.earliest(now)) && s.spans[i].shares.pick(name) != next.shares.pick(name) {
			return true
		}
	}
	return false
}

// stateMoved adds the streams that began here and that a recent change moves to what is stated
// to the peers. They cannot tell the version of such a stream by its name, and this gateway may
// end before the stream does.
func (t *Table) stateMoved(now time.Time) {
	for _, s := range t.services {
		if s.inDoubt(now) {
			t.stateMovedOf(now, s)
		}
	}
}

func (t *Table) stateMovedOf(now time.Time, s *service) {
	for _, id := range t.begun.Keys() {
		b, _ := t.begun.Peek(id)
		if b.stated || now.Sub(b.at) > s.longestTry() || !s.moves(now, b.name) {
			continue
		}
		t.stateBegun(b)
	}
}

// stateBegun states a stream to the peers.
func (t *Table) stateBegun(b *begunStream) {
	b.stated = true
	t.addStated(streamID(b.name), b.version, 1)
}

// isNamed reports whether the name of a stream that has an event now gives its version. It does
// not if a change moves the stream, also one that was taken up long after that, or if this gateway
// does not know the recorded designations, which others follow.
func (t *Table) isNamed(now time.Time, attempt, version string) bool {
	if !t.complete {
		return false
	}
	for _, s := range t.services {
		if picked, ok := s.pickedSince(s.earliest(now), now, attempt); ok && picked == version && !s.moves(now, attempt) {
			return true
		}
	}
	return false
}
