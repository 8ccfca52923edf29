package relay

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxBufferedEventBytes is the size below which an event of a stream is buffered
	// until it is complete. A longer one is passed on in pieces, and its stream
	// cannot be resumed any more.
	maxBufferedEventBytes = 64 << 10
	// maxPartialEventBytes bounds an event that is passed on in pieces. Valid events
	// hold a few tokens or an encoded image and are smaller.
	maxPartialEventBytes = 4 << 20
)

// errEventTooLarge ends a stream whose endpoint sends bytes without ending an event.
var errEventTooLarge = fmt.Errorf("event exceeds %d bytes", maxPartialEventBytes)

// eventTerminators are the blank lines that end an event, with either line ending.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// lastEventEnd returns the index after the last complete event in b; 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// eventSplitter splits a stream of server-sent events into complete events and
// keeps the id of the last one, so that a stream that broke inside an event can
// be resumed after the last complete one.
type eventSplitter struct {
	pending []byte
	lastID  string
	// sentPartial states that an event of the stream was passed on in pieces.
	sentPartial bool
	// partialBytes is the number of bytes of the current event that were passed on
	// in pieces.
	partialBytes int
	// resumedAfter is the id of the last event before the attempt, until the attempt has
	// brought an event with an id; repeats states that this one is not later.
	resumedAfter string
	repeats      bool
}

// push appends b to the pending bytes and removes and returns the complete events
// among them, or all pending bytes if an event is too long to be buffered. The
// result is valid until the next call.
func (s *eventSplitter) push(b []byte) []byte {
	s.pending = append(s.pending, b...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		if len(s.pending) < maxBufferedEventBytes {
			return nil
		}
		s.sentPartial = true
		s.partialBytes += len(s.pending)
		return s.flush()
	}
	s.partialBytes = 0
	complete := s.pending[:end:end]
	if s.checkResumption(complete); s.repeats {
		return nil
	}
	s.recordLastID(complete)
	rest := make([]byte, len(s.pending)-end)
	copy(rest, s.pending[end:])
	s.pending = rest
	return complete
}

// tooLarge reports whether the current event exceeds maxPartialEventBytes.
func (s *eventSplitter) tooLarge() bool { return s.partialBytes > maxPartialEventBytes }

// flush removes and returns the pending bytes.
func (s *eventSplitter) flush() []byte {
	b := s.pending
	s.pending = nil
	return b
}

// insideEvent reports whether a part of an event was received, but not its end.
func (s *eventSplitter) insideEvent() bool { return len(s.pending) > 0 || s.partialBytes > 0 }

// pendingBytes returns the number of buffered bytes of an incomplete event.
func (s *eventSplitter) pendingBytes() int { return len(s.pending) }

// beginAttempt drops the part of an event that was not passed on. What follows has to go on
// after the last event.
func (s *eventSplitter) beginAttempt() { s.pending, s.resumedAfter, s.repeats = nil, s.lastID, false }

// checkResumption sets repeats if the first id among the events is not later than resumedAfter. The
// order of ids that are no numbers is not known; they only must differ.
func (s *eventSplitter) checkResumption(events []byte) {
	if s.resumedAfter == "" {
		return
	}
	first, ok := firstID(events)
	if !ok {
		return
	}
	before, beforeErr := strconv.ParseUint(s.resumedAfter, 10, 64)
	after, afterErr := strconv.ParseUint(first, 10, 64)
	s.repeats = first == s.resumedAfter || beforeErr == nil && afterErr == nil && after <= before
	s.resumedAfter = ""
}

// firstID returns the id of the first event that has one.
func firstID(events []byte) (string, bool) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// recordLastID keeps the id of the last event that has one.
func (s *eventSplitter) recordLastID(events []byte) {
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

func splitCommaList(line string) []string {
	var names []string
	for _, name := range strings.Split(line, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}
