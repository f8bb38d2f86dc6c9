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

// disk is what one disk holds durably.
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

// compact is a durable snapshot of the own state.
func (d *disk) compact(s *pb.Snapshot) {
	d.state.Entries = d.state.Entries[s.Index-d.state.Snapshot.GetIndex():]
	d.state.Snapshot = s
}

// host is one instance: clock, disk, and the process while it is up.
type host struct {
	name   string
	disk   *disk
	rate   float64 // of its clock
	core   *Core   // nil while down
	life   int     // counts processes
	frozen bool
	held   []func() // what came while frozen
	values map[string]string
	writes map[uint64]pendingWrite // by index
	reads  map[uint64]*operation
	lost   int // disks lost so far
}

type pendingWrite struct {
	term uint64
	op   *operation
}

// world is a group of hosts with a network, in virtual time. All that happens
// follows from its seed.
type world struct {
	t       testing.TB
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   int
	steps   int
	hosts   []*host
	cuts    map[[2]string]bool // from, to
	calm    bool               // no faults any more
	history history
	checks  checks
	nextOp  uint64
}

const worldTick = 50 * time.Millisecond

func newWorld(t testing.TB, seed uint64, size int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 7)), cuts: map[[2]string]bool{}, checks: newChecks(t, seed)}
	var members []*pb.Member
	for i := range size {
		h := &host{name: fmt.Sprintf("i%d", i), disk: &disk{id: fmt.Sprintf("i%d.0", i)}}
		h.rate = 0.9 + 0.2*w.random.Float64()
		w.hosts = append(w.hosts, h)
		members = append(members, h.member())
	}
	state, err := Bootstrap(members)
	if err != nil {
		t.Fatal(err)
	}
	w.hosts[0].disk.state = state
	for _, h := range w.hosts {
		w.start(h)
	}
	return w
}

func (h *host) member() *pb.Member {
	return &pb.Member{InstanceId: h.name, DiskId: h.disk.id, RpcAddress: h.name}
}

// clock is the time that h reads.
func (w *world) clock(h *host) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now) * h.rate))
}

func (w *world) start(h *host) {
	h.life++
	h.values, h.writes, h.reads = map[string]string{}, map[uint64]pendingWrite{}, map[uint64]*operation{}
	h.frozen, h.held = false, nil
	h.restore(h.disk.state.Snapshot)
	core, err := New(Config{
		ID: h.disk.id, MaxMessageBytes: 256, MaxInflight: 4,
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	}, h.disk.state, w.clock(h))
	if err != nil {
		w.t.Fatal(err)
	}
	h.core = core
	w.tickLater(h, h.life)
}

func (h *host) restore(s *pb.Snapshot) {
	h.values = map[string]string{}
	if len(s.GetData()) > 0 {
		if err := json.Unmarshal(s.Data, &h.values); err != nil {
			panic(err)
		}
	}
}

func (w *world) tickLater(h *host, life int) {
	w.after(worldTick+time.Duration(w.random.Int64N(int64(worldTick/5))), func() {
		if h.life == life && h.core != nil {
			w.run(h, func(now time.Time) { h.core.Tick(now) })
			w.tickLater(h, life)
		}
	})
}

// run does something at h, or once h thaws, and then carries out its Ready.
func (w *world) run(h *host, do func(now time.Time)) {
	if h.core == nil {
		return
	}
	if h.frozen {
		life := h.life
		h.held = append(h.held, func() {
			if h.life == life {
				w.run(h, do)
			}
		})
		return
	}
	do(w.clock(h))
	h.core.Flush(w.clock(h))
	for h.core != nil && h.core.HasReady() {
		w.carryOut(h, h.core.Ready())
	}
	if h.core != nil {
		w.compactSometimes(h)
		w.checks.look(w, h)
		w.dropWaiting(h)
	}
}

// carryOut may crash the host at each point between persisting and applying.
func (w *world) carryOut(h *host, r Ready) {
	if r.NeedsSync() && w.crashNow() {
		w.crash(h) // nothing of r was synced
		return
	}
	h.disk.save(r)
	for _, m := range r.Messages {
		if w.crashNow() {
			w.crash(h)
			return
		}
		w.post(h, m)
	}
	if r.Snapshot != nil {
		h.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		w.checks.applied(h, e)
		w.apply(h, e)
	}
	for _, read := range r.Reads {
		w.endRead(h, read)
	}
	h.core.Advance(w.clock(h), r)
}

func (w *world) crashNow() bool { return !w.calm && w.random.IntN(20000) == 0 }

func (w *world) crash(h *host) {
	h.core = nil
	h.life++
	h.frozen, h.held = false, nil
	w.after(time.Duration(w.random.Int64N(int64(3*time.Second))), func() {
		if h.core == nil {
			w.start(h)
		}
	})
}

func (w *world) compactSometimes(h *host) {
	status := h.core.Status()
	if status.Applied < status.Snapshot+30 || w.random.IntN(4) > 0 {
		return
	}
	s := h.core.SnapshotAt(status.Applied)
	s.Data, _ = json.Marshal(h.values)
	h.disk.compact(s)
	h.core.Compact(s, uint64(w.random.IntN(20)))
}

// post puts a message on the network, which drops, repeats and reorders.
func (w *world) post(h *host, m *pb.ConsensusMessage) {
	copies := 1
	if !w.calm {
		switch w.random.IntN(40) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		}
	}
	for range copies {
		delay := time.Duration(w.random.Int64N(int64(5 * time.Millisecond)))
		if !w.calm && w.random.IntN(30) == 0 {
			delay = time.Duration(w.random.Int64N(int64(2 * time.Second)))
		}
		w.after(delay, func() { w.deliver(h, m) })
	}
}

func (w *world) deliver(from *host, m *pb.ConsensusMessage) {
	for _, to := range w.hosts {
		if to.disk.id == m.To && !w.cuts[[2]string{from.name, to.name}] {
			w.run(to, func(now time.Time) { to.core.Step(now, m) })
		}
	}
}

func (h *host) applyTo(e *pb.LogEntry) {
	var command operation
	if err := json.Unmarshal(e.Data, &command); err != nil {
		panic(err)
	}
	h.values = maps.Clone(h.values)
	h.values[command.Key] = command.Value
}

func (w *world) apply(h *host, e *pb.LogEntry) {
	if e.Kind == pb.EntryKind_ENTRY_KIND_COMMAND {
		h.applyTo(e)
	}
	if waiting, ok := h.writes[e.Index]; ok {
		delete(h.writes, e.Index)
		if waiting.term == e.Term {
			w.history.end(waiting.op, w.order)
		}
	}
}

// event is something that will happen.
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

func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + delay, order: w.order, do: do})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end && !w.t.Failed() {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		w.order++
		w.steps++
		e.do()
	}
	w.now = end
}
