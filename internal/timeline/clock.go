package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Stamp is a hybrid logical time: Unix nanoseconds, and a counter that orders
// events with the same wall time and those after a stamp from a process whose
// clock is ahead.
type Stamp struct {
	Wall    uint64
	Logical uint32
}

// Before reports whether s is ordered before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// Time returns the wall time.
func (s Stamp) Time() time.Time { return time.Unix(0, int64(s.Wall)) }

// String returns the text form for message metadata, which ParseStamp parses.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Wall, s.Logical) }

// ParseStamp is the inverse of String.
func ParseStamp(text string) (Stamp, error) {
	wall, logical, found := strings.Cut(text, ".")
	if !found {
		return Stamp{}, trace.BadParameter("stamp has no logical part")
	}
	w, err := strconv.ParseUint(wall, 10, 64)
	if err != nil {
		return Stamp{}, trace.Wrap(err)
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Stamp{}, trace.Wrap(err)
	}
	return Stamp{Wall: w, Logical: uint32(l)}, nil
}

// MaxClockSkew is how far ahead of the local wall clock an observed stamp may be: a
// broken clock elsewhere must not spoil the order of all later events.
const MaxClockSkew = 5 * time.Second

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads wall time from wall, usually time.Now.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a stamp after every stamp that this clock returned or observed.
func (c *Clock) Now() Stamp {
	now := uint64(c.wall().UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if now > c.last.Wall {
		c.last = Stamp{Wall: now}
		return c.last
	}
	c.last.Logical++
	return c.last
}

// Observe updates the clock with the stamp of a received message, so that later
// local events are ordered after it. A stamp more than MaxClockSkew ahead is
// ignored.
func (c *Clock) Observe(s Stamp) {
	now := c.wall()
	if s.Wall > uint64(now.Add(MaxClockSkew).UnixNano()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

// Stamp returns Now as text; with ObserveText it implements rpc.Clock.
func (c *Clock) Stamp() string { return c.Now().String() }

// ObserveText observes a stamp in text form; a malformed one is ignored.
func (c *Clock) ObserveText(text string) {
	s, err := ParseStamp(text)
	if err != nil {
		return
	}
	c.Observe(s)
}
