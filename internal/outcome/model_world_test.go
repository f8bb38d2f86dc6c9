package outcome

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// fault disables one guard, to show that the model check detects its absence.
type fault int

const (
	faultNone fault = iota
	faultNoPromise
	faultNoSeal
	faultOneSource
	faultNoReadyGate
	faultSharedBallots
	faultFastMajority
	faultFastNeverBinds
	faultForgetHistoryLoss
	faultSkipFormer
	faultOnlyReadFormer
)

// modelZones are the two sets of permitted zones that the team switches between.
var modelZones = [...]fleet.ZoneSet{testZones, fleet.NewZoneSet("howrah")}

func modelShard(class int) fleet.LedgerShard {
	return fleet.LedgerShard{ZoneClass: modelZones[class].Class()}
}

func modelClass(s fleet.LedgerShard) int {
	for class := range modelZones {
		if modelShard(class) == s {
			return class
		}
	}
	panic("no such shard")
}

// modelState is the state that the control group publishes.
type modelState struct {
	index  uint64
	view   fleet.View
	groups [len(modelZones)]fleet.LedgerGroup
	class  int      // index in modelZones of the team's zones
	former []string // former zone classes of the team
}

// modelNode is one process. A removed process is out of the view and continues with the
// state it has; a frozen one processes nothing until it resumes.
type modelNode struct {
	self           fleet.Owner
	replica        *Replica
	state          *modelState
	removed        bool
	crashed        bool
	frozen         bool
	lastProposerID uint64
	active         []*modelProposer
}

// modelProposer is a running claim, lookup or forbid.
type modelProposer struct {
	node           *modelNode
	proposer       *Proposer
	purpose        Purpose
	claim          Claim
	class          int   // the team's class at the start
	formerClasses  []int // still to be visited
	epoch          uint64
	group          fleet.LedgerGroup
	waiting        bool
	done           bool
	moved          bool       // ended with VerdictMoved
	answersAtStart keyAnswers // about the key
}

// world is a simulated fleet with one shard that takes random steps from a seed. If the
// team's zones change, there is one shard for each class.
type world struct {
	zonesChange bool
	random      *rand.Rand
	fault       fault
	now         time.Time
	nodes       []*modelNode
	state       *modelState
	pending     []func()
	lastAttempt int
	audit       *audit
}

func newWorld(seed uint64, f fault) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)),
		fault:  f,
		now:    time.Unix(1_000_000, 0),
		state:  &modelState{view: fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{}}},
		audit:  newAudit(),
	}
	for range 4 {
		w.join()
	}
	w.regroup(0, fleet.Owner{})
	return w
}

// newZoneChangeWorld returns a world in which the team's permitted zones change.
func newZoneChangeWorld(seed uint64, f fault) *world {
	w := newWorld(seed, f)
	w.zonesChange = true
	w.regroup(1, fleet.Owner{})
	return w
}

// run takes n steps and returns the first violation.
func (w *world) run(n int) error {
	for range n {
		w.now = w.now.Add(time.Millisecond)
		w.step()
		if w.audit.violation != nil {
			return w.audit.violation
		}
	}
	return nil
}

func (w *world) step() {
	if w.zonesChange && w.random.IntN(150) == 0 {
		w.changeZones()
		return
	}
	switch roll := w.random.IntN(1000); {
	case roll < 660:
		w.deliver()
	case roll < 740:
		w.timeout()
	case roll < 780:
		w.begin()
	case roll < 790:
		w.finish()
	case roll < 930:
		w.copyMissing()
	case roll < 975:
		w.deliverState()
	case roll < 980:
		w.toggleFreeze()
	case roll < 989:
		w.removeFromView()
	case roll < 992:
		w.drain()
	default:
		w.join()
	}
}

func (w *world) send(f func()) { w.pending = append(w.pending, f) }

// deliver picks a random message and delivers it, loses it, or delivers it and keeps a
// duplicate.
func (w *world) deliver() {
	if len(w.pending) == 0 {
		return
	}
	n := w.random.IntN(len(w.pending))
	f := w.pending[n]
	fate := w.random.IntN(100)
	if fate >= 8 {
		w.pending[n] = w.pending[len(w.pending)-1]
		w.pending = w.pending[:len(w.pending)-1]
	}
	if fate < 92 {
		f()
	}
}

func (w *world) pick() *modelNode { return w.nodes[w.random.IntN(len(w.nodes))] }

func (n *modelNode) unresponsive() bool { return n.crashed || n.frozen }

func (w *world) begin() {
	n := w.pick()
	if n.unresponsive() || n.state.groups[n.state.class].Epoch == 0 {
		return
	}
	purpose := []Purpose{PurposeClaim, PurposeClaim, PurposeClaim, PurposeForbid, PurposeResolve}[w.random.IntN(5)]
	key := Key{15: byte(w.random.IntN(2))}
	w.lastAttempt++
	c := Claim{Key: key, PermittedZones: modelZones[n.state.class], Attempt: fleet.AttemptID(fmt.Sprint("attempt-", w.lastAttempt)), Endpoint: "bank-1"}
	m := &modelProposer{node: n, purpose: purpose, claim: c, class: n.state.class, answersAtStart: w.audit.answersOn(key)}
	for _, s := range formerShards(key, c.PermittedZones, n.state.former) {
		if w.fault != faultSkipFormer {
			m.formerClasses = append(m.formerClasses, modelClass(s))
		}
	}
	n.active = append(n.active, m)
	w.propose(m)
}

// propose starts the claim at the next shard that it has to visit.
func (w *world) propose(m *modelProposer) {
	n := m.node
	if w.fault != faultSharedBallots {
		n.lastProposerID++
	}
	purpose := m.purpose
	if len(m.formerClasses) > 0 {
		purpose = purpose.atFormerShard()
		if w.fault == faultOnlyReadFormer {
			purpose = PurposeResolve
		}
	}
	m.proposer = NewProposer(purpose, m.claim, n.self, n.lastProposerID)
	w.restart(m)
}

// currentClass returns the class whose shard is being asked.
func (m *modelProposer) currentClass() int {
	if len(m.formerClasses) > 0 {
		return m.formerClasses[0]
	}
	return m.class
}

func (w *world) restart(m *modelProposer) {
	if len(m.formerClasses) == 0 && m.class != m.node.state.class {
		m.done = true // the settings have changed, so the claim ends
		return
	}
	m.group = m.node.state.groups[m.currentClass()]
	m.epoch = m.group.Epoch
	view := m.node.state.view
	w.applyStep(m, m.proposer.Start(GroupView{
		Shard:       modelShard(m.currentClass()),
		Epoch:       m.epoch,
		Replicas:    len(m.group.Replicas),
		FastPath:    allReady(m.group.Replicas) && w.random.IntN(3) > 0,
		RecordLife:  time.Hour,
		HistoryLost: m.group.HistoryLostUnixMs != 0 && w.fault != faultForgetHistoryLoss,
		InView:      view.Contains,
	}))
}

func (w *world) applyStep(m *modelProposer, s Step) {
	switch {
	case s.Done && !m.done:
		w.handleDone(m)
	case s.Retry:
		m.waiting = true
	case s.Broadcast != nil:
		m.waiting = false
		for n, r := range m.group.Replicas {
			w.request(m, n, r.Owner, *s.Broadcast)
		}
	}
}

func (w *world) handleDone(m *modelProposer) {
	verdict, record := m.proposer.Result()
	if len(m.formerClasses) > 0 && allowsNextShard(verdict) {
		m.formerClasses = m.formerClasses[1:]
		w.propose(m)
		return
	}
	m.done = true
	if m.moved = verdict == VerdictMoved; m.moved {
		verdict = VerdictUnknown
	}
	w.audit.answer(m, verdict, record)
}

// request sends a request to a process. It is delivered to whichever incarnation of the
// instance runs when it arrives.
func (w *world) request(m *modelProposer, index int, to fleet.Owner, q Request) {
	w.send(func() {
		n := w.nodeAt(to.Instance)
		if n == nil || n.unresponsive() {
			return
		}
		reply := w.handle(n, q)
		if m == nil {
			return
		}
		w.send(func() {
			if m.node.unresponsive() || m.done || m.waiting || q.Shard != m.group.Shard {
				return
			}
			w.applyStep(m, w.reply(m, index, q, reply))
		})
	})
}

func (w *world) reply(m *modelProposer, index int, q Request, r Reply) Step {
	if w.fault == faultFastNeverBinds && r.Record.Accepted.Fast() && !r.Record.HasOutcome() {
		r.Record = StoredRecord{}
	}
	s := m.proposer.HandleReply(index, q, r)
	fast := m.proposer.phase == phaseFast && len(m.proposer.okRecords) >= m.proposer.group.majority()
	if w.fault == faultFastMajority && fast {
		return m.proposer.answerDecided()
	}
	return s
}

// nodeAt returns the latest process of an instance that has not crashed, or nil.
func (w *world) nodeAt(id fleet.InstanceID) *modelNode {
	for n := len(w.nodes) - 1; n >= 0; n-- {
		if w.nodes[n].self.Instance == id && !w.nodes[n].crashed {
			return w.nodes[n]
		}
	}
	return nil
}

func (w *world) handle(n *modelNode, q Request) Reply {
	s := n.replica.shards[q.Shard]
	if s != nil && w.fault == faultNoPromise {
		if r := s.acceptor.records[q.Key]; r != nil {
			r.promised = Ballot{}
		}
	}
	if s != nil && w.fault == faultNoReadyGate && s.member {
		s.readyEpoch = s.epoch
	}
	return n.replica.Handle(w.now, q)
}

func (w *world) timeout() {
	n := w.pick()
	if n.unresponsive() || len(n.active) == 0 {
		return
	}
	m := n.active[w.random.IntN(len(n.active))]
	switch {
	case m.done:
	case m.epoch != n.state.groups[m.currentClass()].Epoch:
		w.restart(m)
	case m.waiting:
		w.applyStep(m, m.proposer.Retry())
	default:
		w.applyStep(m, m.proposer.HandleTimeout())
	}
}

// finish sends the outcome of a random claim that ran to the replicas that its owner
// knows. It may happen several times for a claim.
func (w *world) finish() {
	n := w.pick()
	if n.unresponsive() || len(n.active) == 0 {
		return
	}
	m := n.active[w.random.IntN(len(n.active))]
	if v, _ := m.proposer.Result(); !m.done || v != VerdictRun {
		return
	}
	end := StoredRecord{Decision: intentOf(m.claim.Attempt, n.self), Outcome: pb.OutcomeKind_OUTCOME_KIND_COMPLETED}
	g := n.state.groups[m.class]
	for index, r := range g.Replicas {
		q := newFinishRequest(GroupView{Shard: g.Shard, Epoch: g.Epoch}, m.claim.Key, end)
		w.request(nil, index, r.Owner, q)
	}
}
