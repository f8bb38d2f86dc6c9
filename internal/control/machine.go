package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Machine is the replicated state. Apply and Restore come from one goroutine,
// in log order; all reads may come from any goroutine. Records that it hands
// out are shared and must not be changed.
type Machine struct {
	check CheckFunc
	build BuildFunc

	mu               sync.RWMutex
	appliedIndex     uint64 // last applied index
	effectIndex      uint64 // index of the last delta
	clockUnixMs      int64  // the last proposer's clock, unix ms
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

// NewMachine makes an empty state.
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
// pb.CommandResult; a malformed command is a refusal.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := m.applyLocked(index, command)
	encoded, err := proto.Marshal(result)
	if err != nil {
		// All strings were checked on the way in, so this is a broken invariant.
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

// setClock takes the proposer's clock as it is, also when it goes back.
//
// Failure guarded: one leader's clock is set years ahead. Were the highest
// clock kept, ages would stand still until the world has caught up: the weight
// store's turns would never come. So the next leader's clock heals the state,
// and ages that no right clock can give are cut where they are used.
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

// expireRecords drops records whose age, in log entries or by the proposers'
// clock, has passed.
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
