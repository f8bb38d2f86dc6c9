package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Machine is the replicated state. Apply and Restore must be called from one
// goroutine, in log order; the reading methods may be called from any goroutine.
// Returned records are shared and must not be modified.
type Machine struct {
	check CheckFunc
	build BuildFunc

	mu               sync.RWMutex
	appliedIndex     uint64
	effectIndex      uint64 // index of the last delta
	clockUnixMs      int64  // the last proposer's clock
	viewNumber       uint64
	tree             *settings.Tree
	documents        map[string]*pb.SubtreeDocument
	treeBytes        int
	history          *subtreeHistory
	changeResults    *changeResults
	instances        map[string]*pb.InstanceRecord
	seenIncarnations *incarnations
	zoneClasses      *zoneClasses
	formerClasses    *formerClasses
	groups           map[fleet.LedgerShard]*pb.LedgerGroup
	epochFloor       uint64
	orders           *orders
	suspects         *suspects
	recentDeltas     *deltaRing
	delta            *pb.Delta // effect of the command being applied
	changed          chan struct{}
}

var _ replica.StateMachine = (*Machine)(nil)

// NewMachine returns an empty state.
func NewMachine(o MachineOptions) *Machine {
	m := &Machine{check: o.Check, build: o.Build, changed: make(chan struct{})}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.appliedIndex, m.effectIndex, m.clockUnixMs, m.viewNumber = 0, 0, 0, 0
	m.tree = settings.EmptyTree()
	m.documents = make(map[string]*pb.SubtreeDocument)
	m.treeBytes = 0
	m.history = newSubtreeHistory()
	m.changeResults = newChangeResults()
	m.instances = make(map[string]*pb.InstanceRecord)
	m.seenIncarnations = newIncarnations()
	m.formerClasses = newFormerClasses()
	m.zoneClasses = newZoneClasses(m.formerClasses)
	m.groups = make(map[fleet.LedgerShard]*pb.LedgerGroup)
	m.epochFloor = 0
	m.orders = newOrders()
	m.suspects = newSuspects()
	m.recentDeltas = newDeltaRing()
	m.delta = &pb.Delta{}
}

// Apply implements replica.StateMachine. The result is an encoded
// pb.CommandResult; a malformed command gives a refusal.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.applyLocked(index, command)
	encoded, err := proto.Marshal(result)
	if err != nil {
		// All strings were validated before, so this is a broken invariant.
		panic("control: result can't be encoded: " + err.Error())
	}
	return encoded
}

func (m *Machine) applyLocked(index uint64, command []byte) *pb.CommandResult {
	m.appliedIndex = index
	var c pb.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return &pb.CommandResult{Refusal: refusalMalformed}
	}
	m.setClock(c.GetUnixMs())
	m.delta = &pb.Delta{}
	result := m.dispatch(index, &c)
	m.expireRecords(index)
	m.publishDelta(index)
	return result
}

// setClock sets the clock to the proposer's, even if it goes back.
//
// If a leader's clock is years ahead and the highest clock were kept, no age
// would grow until real time has caught up, and waits for the weight store would
// never end. Instead the next leader's clock corrects the state, and ages that no
// correct clock can give are corrected where they are used.
func (m *Machine) setClock(unixMs int64) {
	if unixMs > 0 {
		m.clockUnixMs = unixMs
	}
}

func (m *Machine) dispatch(index uint64, c *pb.Command) *pb.CommandResult {
	switch body := c.GetBody().(type) {
	case *pb.Command_ChangeSubtree:
		return &pb.CommandResult{Change: m.applyChange(index, body.ChangeSubtree)}
	case *pb.Command_JoinInstance:
		return refused(m.applyJoin(index, body.JoinInstance.GetInstance()))
	case *pb.Command_ExpireInstance:
		return refused(m.applyExpire(body.ExpireInstance))
	case *pb.Command_DrainInstance:
		return refused(m.applyDrain(body.DrainInstance))
	case *pb.Command_IssueOrder:
		return m.applyOrder(index, body.IssueOrder)
	case *pb.Command_ReportCrash:
		return refused(m.applyCrash(index, body.ReportCrash))
	case *pb.Command_LedgerReady:
		return refused(m.applyLedgerReady(body.LedgerReady))
	}
	return refused(refusalMalformed)
}

// expireRecords removes records that have expired, by log entries or by the
// proposers' clock.
func (m *Machine) expireRecords(index uint64) {
	m.changeResults.expire(index)
	m.removeExpiredClasses()
	m.clearExpiredLostHistory()
	m.formerClasses.expire(m.clockUnixMs, m.formerClassLifeMs())
	m.delta.Suspects = append(m.delta.Suspects, m.suspects.expire(m.clockUnixMs, m.suspectLifeMs())...)
}

func (m *Machine) publishDelta(index uint64) {
	d := m.delta
	d.FormerClasses = m.formerClasses.takePendingDelta()
	if len(d.Subtrees)+len(d.Joined)+len(d.Left)+len(d.LedgerGroups)+len(d.Suspects)+len(d.FormerClasses) == 0 {
		return
	}
	if len(d.Joined)+len(d.Left) > 0 {
		m.viewNumber++
	}
	d.Index = index
	d.ViewNumber = m.viewNumber
	m.recentDeltas.add(d, m.effectIndex)
	m.effectIndex = index
	m.notifyChanged()
}

func (m *Machine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func refused(reason string) *pb.CommandResult {
	return &pb.CommandResult{Refusal: reason}
}
