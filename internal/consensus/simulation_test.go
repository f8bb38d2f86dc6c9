package consensus

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// disk is the durable content of one disk.
type disk struct {
	id    string
	state State
}

func (d *disk) save(r Ready) {
	if r.Snapshot != nil {
		d.state.Snapshot, d.state.Entries = r.Snapshot, nil
	}
	if r.HardState != nil {
		d.state.HardState = r.HardState
	}
	if len(r.Entries) == 0 {
		return
	}
	keep := r.Entries[0].Index - d.state.Snapshot.GetIndex() - 1
	d.state.Entries = append(d.state.Entries[:keep:keep], r.Entries...)
}

// compact persists a snapshot of the host's state and drops the entries it covers.
func (d *disk) compact(s *pb.Snapshot) {
	d.state.Entries = d.state.Entries[s.Index-d.state.Snapshot.GetIndex():]
	d.state.Snapshot = s
}

// host is one instance: its clock, its disk, and its process while it runs.
type host struct {
	name        string
	disk        *disk
	clockRate   float64 // of its clock, relative to virtual time
	core        *Core   // nil while down
	incarnation int     // counts process starts and ends
	frozen      bool
	deferred    []func() // calls that arrived while frozen
	values      map[string]string
	writes      map[uint64]pendingWrite // by index
	reads       map[uint64]*operation
	disksLost   int // disks lost so far
}

type pendingWrite struct {
	term uint64
	op   *operation
}

// simulation is a group of hosts and a network in virtual time. It is
// deterministic for a given seed.
type simulation struct {
	t             testing.TB
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	order         int
	steps         int
	hosts         []*host
	cuts          map[[2]string]bool // from, to
	faultsStopped bool               // no more faults are injected
	history       history
	invariants    invariants
	nextOp        uint64
}

const simulationTick = 50 * time.Millisecond

func newSimulation(t testing.TB, seed uint64, size int) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), cuts: map[[2]string]bool{}, invariants: newInvariants(t, seed)}
	var members []*pb.Member
	for i := range size {
		h := &host{name: fmt.Sprintf("i%d", i), disk: &disk{id: fmt.Sprintf("i%d.0", i)}}
		h.clockRate = 0.9 + 0.2*sim.random.Float64()
		sim.hosts = append(sim.hosts, h)
		members = append(members, h.member())
	}
	state, err := Bootstrap(members)
	if err != nil {
		t.Fatal(err)
	}
	sim.hosts[0].disk.state = state
	for _, h := range sim.hosts {
		sim.start(h)
	}
	return sim
}

func (h *host) member() *pb.Member {
	return &pb.Member{InstanceId: h.name, DiskId: h.disk.id, RpcAddress: h.name}
}

// clock returns the time of h's clock.
func (sim *simulation) clock(h *host) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(sim.now) * h.clockRate))
}

func (sim *simulation) start(h *host) {
	h.incarnation++
	h.values, h.writes, h.reads = map[string]string{}, map[uint64]pendingWrite{}, map[uint64]*operation{}
	h.frozen, h.deferred = false, nil
	h.restore(h.disk.state.Snapshot)
	core, err := New(Config{
		ID: h.disk.id, MaxMessageBytes: 256, MaxInflight: 4,
		Random: rand.New(rand.NewPCG(sim.random.Uint64(), 1)),
	}, h.disk.state, sim.clock(h))
	if err != nil {
		sim.t.Fatal(err)
	}
	h.core = core
	sim.scheduleTick(h, h.incarnation)
}

func (h *host) restore(s *pb.Snapshot) {
	h.values = map[string]string{}
	if len(s.GetData()) > 0 {
		if err := json.Unmarshal(s.Data, &h.values); err != nil {
			panic(err)
		}
	}
}

func (sim *simulation) scheduleTick(h *host, incarnation int) {
	sim.after(simulationTick+time.Duration(sim.random.Int64N(int64(simulationTick/5))), func() {
		if h.incarnation == incarnation && h.core != nil {
			sim.run(h, func(now time.Time) { h.core.Tick(now) })
			sim.scheduleTick(h, incarnation)
		}
	})
}

// run calls do on h, after the end of a freeze if h is frozen, and then
// processes h's Ready.
func (sim *simulation) run(h *host, do func(now time.Time)) {
	if h.core == nil {
		return
	}
	if h.frozen {
		incarnation := h.incarnation
		h.deferred = append(h.deferred, func() {
			if h.incarnation == incarnation {
				sim.run(h, do)
			}
		})
		return
	}
	do(sim.clock(h))
	h.core.Flush(sim.clock(h))
	for h.core != nil && h.core.HasReady() {
		sim.processReady(h, h.core.Ready())
	}
	if h.core != nil {
		sim.maybeCompact(h)
		sim.invariants.checkHost(sim, h)
		sim.dropPendingWrites(h)
	}
}

// processReady persists, sends and applies r. The host may crash before it
// persists and before each message.
func (sim *simulation) processReady(h *host, r Ready) {
	if r.NeedsSync() && sim.shouldCrash() {
		sim.crash(h) // nothing of r was synced
		return
	}
	h.disk.save(r)
	for _, m := range r.Messages {
		if sim.shouldCrash() {
			sim.crash(h)
			return
		}
		sim.sendMessage(h, m)
	}
	if r.Snapshot != nil {
		h.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		sim.invariants.checkApplied(h, e)
		sim.apply(h, e)
	}
	for _, read := range r.Reads {
		sim.endRead(h, read)
	}
	h.core.Advance(sim.clock(h), r)
}

func (sim *simulation) shouldCrash() bool { return !sim.faultsStopped && sim.random.IntN(20000) == 0 }

func (sim *simulation) crash(h *host) {
	h.core = nil
	h.incarnation++
	h.frozen, h.deferred = false, nil
	sim.after(time.Duration(sim.random.Int64N(int64(3*time.Second))), func() {
		if h.core == nil {
			sim.start(h)
		}
	})
}

func (sim *simulation) maybeCompact(h *host) {
	status := h.core.Status()
	if status.Applied < status.SnapshotIndex+30 || sim.random.IntN(4) > 0 {
		return
	}
	s := h.core.SnapshotAt(status.Applied)
	s.Data, _ = json.Marshal(h.values)
	h.disk.compact(s)
	h.core.Compact(s, uint64(sim.random.IntN(20)))
}

// sendMessage sends a message over the network, which may drop, duplicate and
// reorder it.
func (sim *simulation) sendMessage(h *host, m *pb.ConsensusMessage) {
	copies := 1
	if !sim.faultsStopped {
		switch sim.random.IntN(40) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		delay := time.Duration(sim.random.Int64N(int64(5 * time.Millisecond)))
		if !sim.faultsStopped && sim.random.IntN(30) == 0 {
			delay = time.Duration(sim.random.Int64N(int64(2 * time.Second)))
		}
		sim.after(delay, func() { sim.deliver(h, m) })
	}
}

func (sim *simulation) deliver(from *host, m *pb.ConsensusMessage) {
	for _, to := range sim.hosts {
		if to.disk.id == m.To && !sim.cuts[[2]string{from.name, to.name}] {
			sim.run(to, func(now time.Time) { to.core.Step(now, m) })
		}
	}
}

func (h *host) applyCommand(e *pb.LogEntry) {
	var command operation
	if err := json.Unmarshal(e.Data, &command); err != nil {
		panic(err)
	}
	h.values = maps.Clone(h.values)
	h.values[command.Key] = command.Value
}

func (sim *simulation) apply(h *host, e *pb.LogEntry) {
	if e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
		h.applyCommand(e)
	}
	if waiting, ok := h.writes[e.Index]; ok {
		delete(h.writes, e.Index)
		if waiting.term == e.Term {
			sim.history.end(waiting.op, sim.order)
		}
	}
}

// event is a scheduled call.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (sim *simulation) after(delay time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.events, event{at: sim.now + delay, order: sim.order, do: do})
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end && !sim.t.Failed() {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		sim.order++
		sim.steps++
		e.do()
	}
	sim.now = end
}
