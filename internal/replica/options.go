package replica

import (
	"cmp"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// The defaults of Options.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultStorageTimeout  = 3 * time.Second
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 64 << 20
	DefaultKeepEntries     = 1024
)

// Heartbeats and elections are counted in ticks by default.
const (
	heartbeatTicks = 2
	electionTicks  = 10
)

// Options tell a Node who it is and what it works with.
type Options struct {
	InstanceID string
	RPCAddress string // host:port where the other members reach this one
	Dir        string // data folder
	FS         storage.FS
	Machine    StateMachine
	Transport  Transport
	Part       logging.Part
	Registerer prometheus.Registerer // nil for no metrics
	Seed       uint64                // of the election timeouts

	// Tick is how often timers are looked at. HeartbeatInterval and
	// ElectionTimeout are 2 and 10 ticks when 0; a member stands after one
	// to two election timeouts.
	Tick              time.Duration
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// StorageTimeout is the longest a write and its sync may take before
	// the disk counts as failed, besides a second for each 10 MiB.
	StorageTimeout time.Duration
	// Reopen has the member read its data folder anew after a failed write, and
	// go on when it can be written again, as a restarted process would. Without
	// it Run ends.
	Reopen bool
	// SnapshotEntries or SnapshotBytes of applied entries make a new snapshot
	// due; KeepEntries of them stay in memory for members that lag a little.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	KeepEntries     uint64
}

func (o Options) withDefaults() (Options, error) {
	if o.InstanceID == "" || o.RPCAddress == "" || o.Dir == "" {
		return o, trace.BadParameter("a replica needs an instance ID, an RPC address and a data folder")
	}
	if o.FS == nil || o.Machine == nil || o.Transport == nil {
		return o, trace.BadParameter("a replica needs a file system, a state machine and a transport")
	}
	o.Tick = cmp.Or(o.Tick, DefaultTick)
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, heartbeatTicks*o.Tick)
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, electionTicks*o.Tick)
	o.StorageTimeout = cmp.Or(o.StorageTimeout, DefaultStorageTimeout)
	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, DefaultSnapshotEntries)
	o.SnapshotBytes = cmp.Or(o.SnapshotBytes, DefaultSnapshotBytes)
	o.KeepEntries = cmp.Or(o.KeepEntries, DefaultKeepEntries)
	return o, nil
}
