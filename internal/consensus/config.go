package consensus

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Defaults of Config.
const (
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxMessageBytes   = 256 << 10
	DefaultMaxInflight       = 64
	DefaultMaxUncommitted    = 16384
	DefaultMaxPendingBytes   = 64 << 20
)

// MaxCommandBytes is the maximum size of one proposed command.
const MaxCommandBytes = 4 << 20

// leaseDivisor sets the lease of a leader to ElectionTimeout minus
// ElectionTimeout/leaseDivisor. A lease read is safe as long as the clocks of
// two members differ in rate by less than 1/leaseDivisor.
const leaseDivisor = 4

// Config configures a Core. Zero values of the numeric fields select the
// defaults.
type Config struct {
	// ID is the disk ID of this member.
	ID string
	// ElectionTimeout is the minimum time without contact from a leader after
	// which a member may vote or start an election. Each member waits a random
	// time between one and two election timeouts before it starts one.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	HeartbeatInterval time.Duration
	// MaxMessageBytes limits the entries or the snapshot part in one message; a
	// larger single entry is sent alone. A heartbeat is queued behind the
	// message before it: 256 KB take 0.2 s on a 10 Mbit/s link, less than an
	// election timeout.
	MaxMessageBytes int
	// MaxInflight limits the unacknowledged append messages per member.
	MaxInflight int
	// MaxUncommitted limits a leader's uncommitted entries.
	MaxUncommitted uint64
	// MaxPendingBytes limits the total size of the uncommitted commands.
	MaxPendingBytes int
	// Random randomizes election timeouts.
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

// leaseDuration returns how long a heartbeat round that a quorum answered
// protects the leader from being replaced, counted from the sending of the round.
func (c Config) leaseDuration() time.Duration {
	return c.ElectionTimeout - c.ElectionTimeout/leaseDivisor
}

// State is the persisted state of a member at its start.
type State struct {
	HardState *pb.HardState  // nil on an empty disk
	Snapshot  *pb.Snapshot   // nil if there is none
	Entries   []*pb.LogEntry // entries after the snapshot
}
