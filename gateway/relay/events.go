package relay

import (
	"bytes"
	"fmt"
	"strings"
)

const (
	// maxEventBytes is the size up to which an event of a stream is held back until
	// it is whole. A longer one is passed on in pieces, and a stream that breaks
	// inside it cannot be resumed.
	maxEventBytes = 64 << 10
	// maxPiecesBytes bounds an event that is passed on in pieces. Events hold a few
	// tokens or an encoded picture; bytes beyond this bound are not an event.
	maxPiecesBytes = 4 << 20
)

// errEndlessEvent ends a stream whose endpoint sends bytes without ending an event.
var errEndlessEvent = fmt.Errorf("event exceeds %d bytes", maxPiecesBytes)

var eventEnd = []byte("\n\n")

// eventSplitter cuts a stream into whole events and remembers the id of the last
// one, so that a stream that broke inside an event can go on after the last
// whole one.
type eventSplitter struct {
	pending []byte
	lastID  string
	// oversize states that an event was passed on in pieces.
	oversize bool
	// pieces is the number of bytes of the current event that were passed on.
	pieces int
}

// push adds bytes and returns the whole events among all pending bytes. The
// result is valid until the next call.
func (s *eventSplitter) push(b []byte) []byte {
	s.pending = append(s.pending, b...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		if len(s.pending) < maxEventBytes {
			return nil
		}
		s.oversize = true
		s.pieces += len(s.pending)
		return s.flush()
	}
	s.pieces = 0
	end += len(eventEnd)
	whole := s.pending[:end:end]
	s.noteIDs(whole)
	rest := make([]byte, len(s.pending)-end)
	copy(rest, s.pending[end:])
	s.pending = rest
	return whole
}

// endless reports whether the current event exceeds every bound.
func (s *eventSplitter) endless() bool { return s.pieces > maxPiecesBytes }

// flush returns what is pending at the end of a stream.
func (s *eventSplitter) flush() []byte {
	b := s.pending
	s.pending = nil
	return b
}

// drop forgets the part of an event that was not passed on.
func (s *eventSplitter) drop() { s.pending = nil }

func (s *eventSplitter) noteIDs(events []byte) {
	start := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case start >= 0:
		start++
	case bytes.HasPrefix(events, []byte("id:")):
		start = 0
	default:
		return
	}
	line, _, _ := bytes.Cut(events[start:], []byte("\n"))
	s.lastID = strings.TrimSpace(strings.TrimPrefix(string(line), "id:"))
}

func splitList(line string) []string {
	var names []string
	for _, name := range strings.Split(line, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
