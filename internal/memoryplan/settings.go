package memoryplan

import (
	"cmp"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/connguard"
)

// Clients are the settings of the bounds on clients. A zero field has its default.
type Clients struct {
	// MemoryShare is the share of the instance's memory that connections of clients and their
	// requests may hold; default 0.25 of an entry, 0.36 of a control instance, 0.24 of a daemon.
	MemoryShare float64 `yaml:"memory_share"`
	// Connections bounds the open connections of all clients; default 0.6 of the descriptors, 0.85
	// of those of a control instance.
	Connections int `yaml:"connections"`
	// BytesPerSecond is how fast a request must arrive on average; default 1024.
	BytesPerSecond int64 `yaml:"bytes_per_s"`
	// Stall is how long a client may send less, or take nothing of a response; default 10s.
	Stall time.Duration `yaml:"stall"`
	// ProcessorShare is the share of the processor time for connections that use much of it;
	// default 0.5.
	ProcessorShare float64 `yaml:"processor_share"`
}

// Defaults and ranges of Clients.
const (
	defaultBytesPerSecond = 1 << 10
	defaultStall          = 10 * time.Second
	maxMemoryShare        = 0.4
	minStall              = time.Second
)

// Check returns an error if a field is out of its range.
func (c Clients) Check() error {
	switch {
	case !(c.MemoryShare >= 0 && c.MemoryShare <= maxMemoryShare):
		return trace.BadParameter("memory_share is %v, and may be up to %v", c.MemoryShare, maxMemoryShare)
	case !(c.ProcessorShare >= 0 && c.ProcessorShare <= 1):
		return trace.BadParameter("processor_share is %v, and may be up to 1", c.ProcessorShare)
	case c.Connections < 0 || c.BytesPerSecond < 0:
		return trace.BadParameter("connections is %d and bytes_per_s %d, and neither may be negative", c.Connections, c.BytesPerSecond)
	case c.Stall != 0 && c.Stall < minStall:
		return trace.BadParameter("stall is %s, and must be at least %s", c.Stall, minStall)
	}
	return nil
}

// limits returns the bounds that all listeners have in common.
func (c Clients) limits() connguard.Limits {
	return connguard.Limits{
		BytesPerSecond: cmp.Or(c.BytesPerSecond, defaultBytesPerSecond), StallTimeout: cmp.Or(c.Stall, defaultStall), SocketBytes: SocketBytes,
	}
}

// Times of calls between processes, whose server has none of its own.
const (
	receiveTimeout = 10 * time.Second
	idleTimeout    = 90 * time.Second
)
