package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/crashboard"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// Intervals and timeouts of a Coordinator.
const (
	// seenReportInterval is the interval at which a member reports to the leader which
	// endpoints and entries it has seen. The leader's answer makes the member current for
	// contactValidity, so that entries leave a member that was cut off well within 2 s.
	seenReportInterval = 300 * time.Millisecond
	contactValidity    = 900 * time.Millisecond
	// leaderPollInterval is how often a member checks whether there is another leader.
	leaderPollInterval = 25 * time.Millisecond
	// leaderRunInterval is how often the leader looks for members with a new disk and for
	// records without heartbeats.
	leaderRunInterval = 400 * time.Millisecond
	// memberTimeout is how long a member may not respond before the leader asks at its
	// address which disk is there: twenty heartbeats of the group.
	memberTimeout = 2 * time.Second
	// voterRemovalDelay is how long a voter may not respond before it is removed: longer
	// than restarts, network cuts and power losses that pass. rejoinDelay is how long a
	// member goes without a leader before it requests to join, as it may have been
	// removed.
	voterRemovalDelay = 20 * time.Second
	rejoinDelay       = 3 * time.Second
	// urgentRemovalDelay replaces voterRemovalDelay while silent voters put the quorum at
	// risk. An instance that only restarts is back within a second or two, and fleets
	// give a replacement four to six seconds until its predecessor must stop counting.
	urgentRemovalDelay = 3 * time.Second
	// joinInterval is the interval between attempts to form or join the group.
	joinInterval = 250 * time.Millisecond
	// callTimeout bounds one call to another control instance. A live peer answers within
	// milliseconds; one that does not is skipped.
	callTimeout = 400 * time.Millisecond
	// joinTimeout bounds a join, which ends once the new member has received the whole
	// log.
	joinTimeout = 3 * time.Second
	// entryTimeout is how long an entry may go without polling; it polls at least every
	// half second.
	entryTimeout = 1500 * time.Millisecond
	// retryDelay is the delay between attempts to commit a command or read an index while
	// there is no leader.
	retryDelay = 40 * time.Millisecond
)

// minSilentVotersAtRisk is the minimum number of silent voters that put a quorum at risk.
const minSilentVotersAtRisk = 2

// refusalLogsPerSecond bounds the log lines about refused heartbeats, after an initial
// refusalLogBurst. That suffices to name each of a few faulty senders, and is few beside
// the lines that a change of hundreds of endpoints writes.
const (
	refusalLogsPerSecond = 1
	refusalLogBurst      = 20
)

// maxRequiredVoters bounds how many voters a group needs before it accepts commands: a
// group of fewer disks could lose a command with one of them.
const maxRequiredVoters = 3

// Options configure a Coordinator.
type Options struct {
	Group   *replica.Node
	Machine *catalog.Machine
	Dialer  rpc.Dialer
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
	Self    *pb.Member            // instance ID, disk ID and RPC address of this process
	// Seeds are the RPC addresses of the control instances known at the start.
	Seeds []string
	// Bootstrap allows the first seed to form a new group on an empty disk. It is true
	// only when the whole fleet starts for the first time.
	Bootstrap bool
	// Tolerance is how many instances, including their disks, may be lost at the same
	// time.
	Tolerance int
	// EndpointTimeout is how long an endpoint may go without a heartbeat before its state
	// becomes SILENT; three heartbeats and some slack.
	EndpointTimeout time.Duration
	// SenderRetention is how long an entry that no longer polls still counts among those
	// that share common budgets: the longest window of a budget.
	SenderRetention time.Duration
	// Uptime is the clock for the age of this member's view as reported to entries. It
	// must go on while the machine is suspended.
	Uptime func() time.Duration
	// Crashes holds this member's findings on requests that crash endpoints; nil if there
	// are none.
	Crashes *crashboard.Board
	// Orders sends orders to model endpoints; if nil, none are sent.
	Orders Orders
	// OrderLease is how long no other instance may send orders after one holder.
	OrderLease time.Duration
}

// requiredVoters returns how many voters the group needs before it accepts commands.
func (o Options) requiredVoters() int {
	return max(1, min(maxRequiredVoters, len(o.Seeds)))
}
