package relay

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event of a stream, bytes.
const maxEvent = 256 << 10

// splitter cuts a stream of bytes into whole events. Bytes of an event whose
// end has not come are held back: an endpoint may break off in the middle, and
// another one that goes on would send that event whole.
type splitter struct {
	held []byte
}

// add takes in bytes and gives those of whole events, and the ID of the last
// of them that has one. The result is valid until the next call.
func (s *splitter) add(p []byte) (whole []byte, lastID string) {
	s.held = append(s.held, p...)
	end := bytes.LastIndex(s.held, []byte("\n\n"))
	if end < 0 {
		return nil, ""
	}
	whole = s.held[:end+2]
	return whole, lastEventID(whole)
}

// drop removes the events that add gave.
func (s *splitter) drop(n int) {
	s.held = append(s.held[:0], s.held[n:]...)
}

// rest tells whether a part of an event is held.
func (s *splitter) rest() bool { return len(s.held) > 0 }

// lastEventID gives the ID of the last event that has one.
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

// firstEventID gives the ID of the first event that has one.
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

// follows tells whether a stream may go on with an event after the one with
// ID last: its ID must be greater, or one of them has none.
func follows(last, next string) bool {
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
