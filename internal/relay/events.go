package relay

import (
	"bytes"
	"strconv"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 256 << 10

// eventSplitter splits a stream of bytes into complete events. It holds back an incomplete
// event: the endpoint may fail in the middle of it, and another one that resumes the
// stream would send that event completely.
type eventSplitter struct {
	buffered []byte
	hasEvent bool // add has returned a complete event
}

// add takes in bytes and returns those of complete events, and the ID of the last of them
// that has one. The result is valid until the next call.
func (s *eventSplitter) add(p []byte) (whole []byte, lastID string) {
	s.buffered = append(s.buffered, p...)
	end := endOfEvents(s.buffered)
	if end == 0 {
		return nil, ""
	}
	s.hasEvent = true
	whole = s.buffered[:end]
	return whole, lastEventID(whole)
}

// eventEnds are the empty lines that end an event, by how its lines end.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// endOfEvents returns the length of the complete events at the front of p.
func endOfEvents(p []byte) int {
	end := 0
	for _, emptyLine := range eventEnds {
		if at := bytes.LastIndex(p, emptyLine); at >= 0 {
			end = max(end, at+len(emptyLine))
		}
	}
	return end
}

// discard removes the n bytes of events that add returned.
func (s *eventSplitter) discard(n int) {
	s.buffered = append(s.buffered[:0], s.buffered[n:]...)
}

// hasPartial reports whether part of an event is buffered.
func (s *eventSplitter) hasPartial() bool { return len(s.buffered) > 0 }

// endsInsideEvent reports whether the stream would be cut if it ended here: newlines after an
// event belong to none.
func (s *eventSplitter) endsInsideEvent() bool {
	return len(bytes.Trim(s.buffered, "\r\n")) > 0
}

// lastEventID returns the ID of the last event that has one; empty for none.
func lastEventID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// firstEventID returns the ID of the first event that has one; empty for none.
func firstEventID(events []byte) string {
	if !bytes.HasPrefix(events, []byte("id:")) {
		at := bytes.Index(events, []byte("\nid:"))
		if at < 0 {
			return ""
		}
		events = events[at+1:]
	}
	line, _, _ := bytes.Cut(events[len("id:"):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

// mayFollow reports whether a stream may continue with event next after event last: its ID
// must be greater, or one of them has none.
func mayFollow(last, next string) bool {
	if last == "" || next == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	if errA != nil || errB != nil {
		return last != next
	}
	return b > a
}
