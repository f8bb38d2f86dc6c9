package consensus

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The defaults of Config.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxMessageBytes   = 256 << 10
	DefaultMaxInflight       = 64
	DefaultMaxUncommitted    = 16384
	DefaultMaxPendingBytes   = 64 << 20
)

// MaxCommand bounds one proposed command, bytes.
const MaxCommand = 4 << 20

// leaseDivisor sets the lease of a leader to ElectionTimeout minus
// ElectionTimeout/leaseDivisor. A lease read is safe as long as the clocks of
// two members differ in rate by less than 1/leaseDivisor.
const leaseDivisor = 4

// Config is what one Core needs to know of its surroundings.
type Config struct {
	// ID is the disk ID of this member.
	ID string
	// ElectionTimeout is the least silence of a leader after which a member
	// may stand or vote; each member waits up to twice as long at random.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the pause between a leader's heartbeat rounds.
	HeartbeatInterval time.Duration
	// MaxMessageBytes bounds the entries or the part of a snapshot in one
	// message; one larger entry is still sent, alone. A heartbeat waits behind
	// the message before it: 256 KB take 0.2 s on a link of 10 Mbit/s, less than
	// an election timeout.
	MaxMessageBytes int
	// MaxInflight bounds the unanswered append messages for each member.
	MaxInflight int
	// MaxUncommitted bounds the entries of a leader that await commit.
	MaxUncommitted uint64
	// MaxPendingBytes bounds the commands in them.
	MaxPendingBytes int
	// Random draws election timeouts.
	Random *rand.Rand
}

func (c Config) withDefaults() (Config, error) {
	if c.ID == "" {
		return c, trace.BadParameter("consensus needs a disk ID")
	}
	if c.Random == nil {
		return c, trace.BadParameter("consensus needs a random source")
	}
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxInflight = cmp.Or(c.MaxInflight, DefaultMaxInflight)
	c.MaxUncommitted = cmp.Or(c.MaxUncommitted, DefaultMaxUncommitted)
	c.MaxPendingBytes = cmp.Or(c.MaxPendingBytes, DefaultMaxPendingBytes)
	if c.HeartbeatInterval*3 > c.ElectionTimeout {
		return c, trace.BadParameter("election timeout %s is under three heartbeats of %s",
			c.ElectionTimeout, c.HeartbeatInterval)
	}
	return c, nil
}

// lease is how long a quorum's answers keep a leader from being replaced.
func (c Config) lease() time.Duration {
	return c.ElectionTimeout - c.ElectionTimeout/leaseDivisor
}

// State is what a member has on disk when it starts.
type State struct {
	HardState *pb.HardState  // nil on an empty disk
	Snapshot  *pb.Snapshot   // nil when none was taken
	Entries   []*pb.LogEntry // those after the snapshot
}
