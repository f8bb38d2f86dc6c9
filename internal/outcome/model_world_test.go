package outcome

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// fault switches one guard off, so that the model check can be seen to fail.
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
	faultLookAtFormer
)

// modelZones are the team's permitted zones before and after a change.
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

// modelState is what the control group publishes.
type modelState struct {
	index  uint64
	view   fleet.View
	groups [len(modelZones)]fleet.LedgerGroup
	class  int      // of the team
	former []string // its former classes
}

// modelNode is one process. A zombie is out of the view and goes on with the
// state it has; a frozen process takes nothing in until it wakes.
type modelNode struct {
	self    fleet.Owner
	replica *Replica
	state   *modelState
	zombie  bool
	crashed bool
	frozen  bool
	numbers uint64
	active  []*modelProposer
}

// modelProposer is a claim, lookup or forbid under way.
type modelProposer struct {
	node    *modelNode
	p       *Proposer
	purpose Purpose
	claim   Claim
	class   int   // of the team when it began
	before  []int // former classes still to be passed
	epoch   uint64
	group   fleet.LedgerGroup
	waiting bool
	done    bool
	moved   bool      // ended by a key that had moved
	after   knowledge // of the key, when it began
}

// world is a fleet with one shard, stepped at random from a seed. When the
// team's zones change, it has one in each class.
type world struct {
	moves   bool
	random  *rand.Rand
	fault   fault
	now     time.Time
	nodes   []*modelNode
	state   *modelState
	bag     []func()
	attempt int
	audit   *audit
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

// newMovingWorld is a world in which the team's permitted zones change.
func newMovingWorld(seed uint64, f fault) *world {
	w := newWorld(seed, f)
	w.moves = true
	w.regroup(1, fleet.Owner{})
	return w
}

// run takes n steps and gives the first broken promise.
func (w *world) run(n int) error {
	for range n {
		w.now = w.now.Add(time.Millisecond)
		w.step()
		if w.audit.broken != nil {
			return w.audit.broken
		}
	}
	return nil
}

func (w *world) step() {
	if w.moves && w.random.IntN(150) == 0 {
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
		w.repair()
	case roll < 975:
		w.push()
	case roll < 980:
		w.freeze()
	case roll < 989:
		w.lose()
	case roll < 992:
		w.drain()
	default:
		w.join()
	}
}

func (w *world) send(f func()) { w.bag = append(w.bag, f) }

// deliver takes a message out of order, loses it, or leaves it in to come
// again.
func (w *world) deliver() {
	if len(w.bag) == 0 {
		return
	}
	n := w.random.IntN(len(w.bag))
	f := w.bag[n]
	fate := w.random.IntN(100)
	if fate >= 8 {
		w.bag[n] = w.bag[len(w.bag)-1]
		w.bag = w.bag[:len(w.bag)-1]
	}
	if fate < 92 {
		f()
	}
}

func (w *world) pick() *modelNode { return w.nodes[w.random.IntN(len(w.nodes))] }

func (n *modelNode) stuck() bool { return n.crashed || n.frozen }

func (w *world) begin() {
	n := w.pick()
	if n.stuck() || n.state.groups[n.state.class].Epoch == 0 {
		return
	}
	purpose := []Purpose{PurposeClaim, PurposeClaim, PurposeClaim, PurposeForbid, PurposeResolve}[w.random.IntN(5)]
	key := Key{15: byte(w.random.IntN(2))}
	w.attempt++
	c := Claim{Key: key, Permitted: modelZones[n.state.class], Attempt: fleet.AttemptID(fmt.Sprint("attempt-", w.attempt)), Endpoint: "bank-1"}
	m := &modelProposer{node: n, purpose: purpose, claim: c, class: n.state.class, after: w.audit.known(key)}
	for _, s := range formerShards(key, c.Permitted, n.state.former) {
		if w.fault != faultSkipFormer {
			m.before = append(m.before, modelClass(s))
		}
	}
	n.active = append(n.active, m)
	w.propose(m)
}

// propose starts at the next shard of the claim's course.
func (w *world) propose(m *modelProposer) {
	n := m.node
	if w.fault != faultSharedBallots {
		n.numbers++
	}
	purpose := m.purpose
	if len(m.before) > 0 {
		purpose = purpose.atFormerShard()
		if w.fault == faultLookAtFormer {
			purpose = PurposeResolve
		}
	}
	m.p = NewProposer(purpose, m.claim, n.self, n.numbers)
	w.restart(m)
}

// at gives the class whose shard is being asked.
func (m *modelProposer) at() int {
	if len(m.before) > 0 {
		return m.before[0]
	}
	return m.class
}

func (w *world) restart(m *modelProposer) {
	if len(m.before) == 0 && m.class != m.node.state.class {
		m.done = true // the settings have changed: given up
		return
	}
	m.group = m.node.state.groups[m.at()]
	m.epoch = m.group.Epoch
	view := m.node.state.view
	w.take(m, m.p.Start(GroupView{
		Shard:       modelShard(m.at()),
		Epoch:       m.epoch,
		Replicas:    len(m.group.Replicas),
		FastPath:    allReady(m.group.Replicas) && w.random.IntN(3) > 0,
		RecordLife:  time.Hour,
		HistoryLost: m.group.HistoryLostMs != 0 && w.fault != faultForgetHistoryLoss,
		InView:      view.Holds,
	}))
}

func (w *world) take(m *modelProposer, s Step) {
	switch {
	case s.Done && !m.done:
		w.ended(m)
	case s.Retry:
		m.waiting = true
	case s.Broadcast != nil:
		m.waiting = false
		for n, r := range m.group.Replicas {
			w.request(m, n, r.Owner, *s.Broadcast)
		}
	}
}

func (w *world) ended(m *modelProposer) {
	verdict, record := m.p.Result()
	if len(m.before) > 0 && allowsNextShard(verdict) {
		m.before = m.before[1:]
		w.propose(m)
		return
	}
	m.done = true
	if m.moved = verdict == VerdictMoved; m.moved {
		verdict = VerdictUnknown
	}
	w.audit.answer(m, verdict, record)
}

// request sends to a process; whoever has its address when the message comes
// gets it.
func (w *world) request(m *modelProposer, index int, to fleet.Owner, q Request) {
	w.send(func() {
		n := w.at(to.Instance)
		if n == nil || n.stuck() {
			return
		}
		reply := w.handle(n, q)
		if m == nil {
			return
		}
		w.send(func() {
			if m.node.stuck() || m.done || m.waiting || q.Shard != m.group.Shard {
				return
			}
			w.take(m, w.reply(m, index, q, reply))
		})
	})
}

func (w *world) reply(m *modelProposer, index int, q Request, r Reply) Step {
	if w.fault == faultFastNeverBinds && r.Record.Accepted.Fast() && !r.Record.HasOutcome() {
		r.Record = StoredRecord{}
	}
	s := m.p.HandleReply(index, q, r)
	fast := m.p.phase == phaseFast && len(m.p.okRecords) >= m.p.group.majority()
	if w.fault == faultFastMajority && fast {
		return m.p.answerDecided()
	}
	return s
}

// at gives the newest process of an instance that isn't crashed.
func (w *world) at(id fleet.InstanceID) *modelNode {
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
	if n.stuck() || len(n.active) == 0 {
		return
	}
	m := n.active[w.random.IntN(len(n.active))]
	switch {
	case m.done:
	case m.epoch != n.state.groups[m.at()].Epoch:
		w.restart(m)
	case m.waiting:
		w.take(m, m.p.Retry())
	default:
		w.take(m, m.p.HandleTimeout())
	}
}

// finish ends a run: its owner tells the replicas that it knows of, as often
// as it comes up.
func (w *world) finish() {
	n := w.pick()
	if n.stuck() || len(n.active) == 0 {
		return
	}
	m := n.active[w.random.IntN(len(n.active))]
	if v, _ := m.p.Result(); !m.done || v != VerdictRun {
		return
	}
	end := StoredRecord{Decision: intentOf(m.claim.Attempt, n.self), Outcome: pb.OutcomeKind_OUTCOME_KIND_COMPLETED}
	g := n.state.groups[m.class]
	for index, r := range g.Replicas {
		q := newFinishRequest(GroupView{Shard: g.Shard, Epoch: g.Epoch}, m.claim.Key, end)
		w.request(nil, index, r.Owner, q)
	}
}
