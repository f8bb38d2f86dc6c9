package logging

import (
	"sync"
	"time"
)

// sampleInterval is the least time between two lines of one message.
const sampleInterval = time.Second

// Sampler logs one line of each message per sampleInterval, with the number of lines that it has
// left out since. What happens to thousands of connections at once would otherwise leave no room for
// other lines. Safe for concurrent use.
type Sampler struct {
	part Part

	mu       sync.Mutex // guards messages
	messages map[string]*sampledMessage
}

// sampledMessage is the state of one message.
type sampledMessage struct {
	loggedAt time.Time
	left     int // lines left out
}

// NewSampler returns a Sampler over a part. Its messages must come from a fixed set.
func NewSampler(part Part) *Sampler {
	return &Sampler{part: part, messages: map[string]*sampledMessage{}}
}

// Warn is Part.Warn for one line of a message per sampleInterval.
func (s *Sampler) Warn(message string, keyvals ...any) {
	left, ok := s.take(time.Now(), message)
	if ok {
		s.part.Warn(message, append(keyvals, "left_out", left)...)
	}
}

// take reports whether a line is logged, and how many were left out before it.
func (s *Sampler) take(now time.Time, message string) (left int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.messages[message]
	if m == nil {
		m = &sampledMessage{}
		s.messages[message] = m
	}
	if !m.loggedAt.IsZero() && now.Sub(m.loggedAt) < sampleInterval {
		m.left++
		return 0, false
	}
	left = m.left
	m.loggedAt, m.left = now, 0
	return left, true
}
