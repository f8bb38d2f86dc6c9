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

// The intervals of a Coordinator.
const (
	// seenInterval is the pause between two reports of a member to the leader.
	// A member is current for currentFor after an answer, so that entries turn
	// away from a member that was cut off well within 2 s.
	seenInterval = 300 * time.Millisecond
	currentFor   = 900 * time.Millisecond
	// leaderLook is the pause between two looks for a new leader.
	leaderLook = 25 * time.Millisecond
	// leaderInterval is the pause between two looks of the leader for members
	// with a new disk and for records without heartbeats.
	leaderInterval = 400 * time.Millisecond
	// silentMember is how long a member may be unheard before the leader asks
	// at its address who is there: twenty heartbeats of the group.
	silentMember = 2 * time.Second
	// lostMember is how long a voter may be unheard before it is removed: longer
	// than restarts, cuts and power losses that pass. outOfTouch is how long a
	// member goes without a leader before it asks whether it still is one.
	lostMember = 20 * time.Second
	outOfTouch = 3 * time.Second
	// lostSuccessor is lostMember where a silent voter endangers the group. What
	// is only restarted is back within a second or two, and the users' fleets
	// give a successor four to six seconds until the one before stops counting.
	lostSuccessor = 3 * time.Second
	// joinInterval is the pause between two tries to join or to form the group.
	joinInterval = 250 * time.Millisecond
	// callTimeout bounds one call to another control instance. A live peer
	// answers within milliseconds; one that does not is passed over.
	callTimeout = 400 * time.Millisecond
	// joinTimeout bounds a join, which ends once the whole log was taken over.
	joinTimeout = 3 * time.Second
	// entrySilence is how long an entry may be unheard; it asks for news at
	// least each half second.
	entrySilence = 1500 * time.Millisecond
	// retryPause is the wait for a leader between two tries of a command.
	retryPause = 40 * time.Millisecond
)

// fewestReplaced is how many silent voters endanger a group at least.
const fewestReplaced = 2

// refusalLines bounds the log lines on refused heartbeats in a second, after a
// first refusalBurst: enough to name each sender of a few, and small beside the
// lines of a change of hundreds of endpoints.
const (
	refusalLines = 1
	refusalBurst = 20
)

// mostFirstVoters bounds how many voters must hold a command before the first
// one is accepted: a group of fewer disks would lose it with one of them.
const mostFirstVoters = 3

// Options tell a Coordinator who it is and what it works with.
type Options struct {
	Group   *replica.Node
	Machine *catalog.Machine
	Dialer  rpc.Dialer
	Part    logging.Part
	Metrics prometheus.Registerer // nil for none
	Self    *pb.Member            // instance, disk and rpc address of this process
	// Seeds are the rpc addresses of control instances known at the start.
	Seeds []string
	// Bootstrap allows the first of the seeds to form a new group on its empty
	// disk. It is true only when the whole fleet starts for the first time.
	Bootstrap bool
	// Tolerance is how many instances may be lost at the same time, disks too.
	Tolerance int
	// EndpointSilence is how long an endpoint may be unheard before it counts
	// as silent; three heartbeats and some slack.
	EndpointSilence time.Duration
	// SenderKept is how long an entry that isn't heard any more counts among those that
	// share common budgets: their longest window.
	SenderKept time.Duration
	// Uptime is the clock by which entries are told how old this member's knowledge
	// is; it goes on while the machine is suspended.
	Uptime func() time.Duration
	// Crashes is what this member knows of requests that crash endpoints; nil: nothing.
	Crashes *crashboard.Board
	// Orders gives orders to model endpoints; nil: none are given.
	Orders Orders
	// OrderLease is for how long nobody else may give orders after one holder.
	OrderLease time.Duration
}

// firstVoters is how many voters the group needs before it takes a command.
func (o Options) firstVoters() int {
	return max(1, min(mostFirstVoters, len(o.Seeds)))
}
