package replica

import (
	"cmp"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// Defaults of Options.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultStorageTimeout  = 3 * time.Second
	DefaultSnapshotEntries = 4096
	DefaultSnapshotBytes   = 64 << 20
	DefaultKeepEntries     = 1024
)

// Default heartbeat interval and election timeout in ticks.
const (
	heartbeatTicks = 2
	electionTicks  = 10
)

// Options configures a Node.
type Options struct {
	InstanceID string
	RPCAddress string // host:port at which the other members reach this one
	Dir        string // data folder
	FS         storage.FS
	Machine    StateMachine
	Transport  Transport
	Part       logging.Part
	Registerer prometheus.Registerer // nil disables the registration of metrics
	Seed       uint64                // for the randomized election timeouts

	// Tick is the interval at which timers are checked. HeartbeatInterval and
	// ElectionTimeout default to 2 and 10 ticks. A member starts an election
	// after one to two election timeouts without a leader.
	Tick              time.Duration
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// StorageTimeout is the maximum time of a write with its sync before the
	// disk counts as failed, plus one second for each 10 MiB.
	StorageTimeout time.Duration
	// Reopen makes the member reopen its data folder after a failed write and
	// continue once it can be written again, as a restarted process would.
	// Otherwise Run ends.
	Reopen bool
	// A snapshot is taken after SnapshotEntries applied entries or SnapshotBytes
	// of their data. KeepEntries entries stay in memory, so that slightly lagging
	// members can catch up without a snapshot.
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
