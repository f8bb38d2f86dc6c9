package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Stamp is a hybrid logical time: unix nanoseconds, and a counter that orders
// what falls on the same wall time or comes from a process whose clock is
// ahead.
type Stamp struct {
	Wall    uint64
	Logical uint32
}

// Before orders stamps.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// Time gives the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, int64(s.Wall)) }

// String gives the form that ParseStamp takes, for message metadata.
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

// MaxAhead bounds how far another process's clock may push this one: a broken
// clock elsewhere must not spoil the order of every later event.
const MaxAhead = 5 * time.Second

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock makes a clock over wall, usually time.Now.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now gives a stamp after every stamp that this clock gave or observed.
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

// Observe takes the stamp of a received message, so that what follows here is
// ordered after what caused it. A stamp too far ahead is ignored.
func (c *Clock) Observe(s Stamp) {
	now := c.wall()
	if s.Wall > uint64(now.Add(MaxAhead).UnixNano()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}

// Stamp gives Now as text; with ObserveText it implements rpc.Clock.
func (c *Clock) Stamp() string { return c.Now().String() }

// ObserveText is Observe of a stamp's text; a malformed one is ignored.
func (c *Clock) ObserveText(text string) {
	s, err := ParseStamp(text)
	if err != nil {
		return
	}
	c.Observe(s)
}
