package endpoint

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

const (
	simulationStep  = 50 * time.Millisecond
	simulationSlots = 3
	simulationLease = 2 * time.Second // of an instance
)

// simulation has one engine, three instances of which one is its home, the
// control group's views, and an entry that starts its work at any time that its
// grants allow. Instances are cut off, frozen, removed from the view, come back
// and miss views; heartbeats, their replies, releases and handovers are lost.
type simulation struct {
	random          *rand.Rand
	now             time.Time
	view            fleet.View
	nodes           []*node
	owner           fleet.Instance
	heartbeatTarget int // index of the node that gets heartbeats
	misses          int
	heartbeats      uint64
	grants          []*work
	engine          map[string]*work
	grantCount      int
	attempt         int
}

// node is one instance.
type node struct {
	self        fleet.Instance
	core        *core
	confirmed   time.Time
	cutOffUntil time.Time
	frozenUntil time.Time
}

// work is a grant that is used, or not, before it expires.
type work struct {
	attempt string
	node    int
	begin   time.Time // zero: never
	until   time.Time // expiry of the grant
	end     time.Time
}

func newSimulation(seed uint64, g testFaults) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 3)), now: epoch, owner: instance("owner", zoneFar), engine: map[string]*work{}}
	w.owner.Entry = false
	var list []fleet.Instance
	for n := range 3 {
		w.nodes = append(w.nodes, &node{self: instance(fmt.Sprint("n", n), zoneNear), confirmed: epoch})
		list = append(list, w.nodes[n].self)
	}
	w.view = viewOf(1, append(list, w.owner)...)
	for _, n := range w.nodes {
		n.core = coreAt(epoch, n.self, w.view, g)
	}
	return w
}

func (w *simulation) chance(perMille int) bool { return w.random.IntN(1000) < perMille }

func (w *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// reachable reports whether n can communicate now.
func (w *simulation) reachable(n *node) bool {
	return !w.now.Before(n.cutOffUntil) && !w.now.Before(n.frozenUntil)
}

// current reports what membership would: whether n was confirmed within the
// lease.
func (w *simulation) current(n *node) bool { return w.now.Sub(n.confirmed) < simulationLease }

func (w *simulation) step() {
	w.now = w.now.Add(simulationStep)
	w.faults()
	for _, n := range w.nodes {
		if w.reachable(n) && w.chance(300) {
			n.confirmed = w.now
			if _, in := w.view.Instances[n.self.ID]; !in && w.chance(200) {
				w.change(n.self, true)
			}
			n.core.observe(w.now, w.view, true)
		}
		if !w.now.Before(n.frozenUntil) {
			n.core.observe(w.now, n.core.view, w.current(n))
			n.core.tick(w.now)
		}
	}
	w.heartbeat()
	w.ask()
	w.run()
	w.deliver()
}

func (w *simulation) faults() {
	for _, n := range w.nodes {
		if w.chance(3) {
			n.cutOffUntil = w.now.Add(w.randomDuration(6 * time.Second))
		}
		if w.chance(3) {
			n.frozenUntil = w.now.Add(w.randomDuration(6 * time.Second))
		}
		_, in := w.view.Instances[n.self.ID]
		if in && w.now.Sub(n.confirmed) > simulationLease && len(w.view.Instances) > 2 {
			w.change(n.self, false)
		}
	}
	if w.chance(5) { // drained or undrained: the view changes while the instance runs
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if i, in := w.view.Instances[n.self.ID]; in {
			i.Draining = !i.Draining
			w.change(i, true)
		}
	}
}

func (w *simulation) change(i fleet.Instance, in bool) {
	next := viewOf(w.view.Number + 1)
	for id, other := range w.view.Instances {
		next.Instances[id] = other
	}
	delete(next.Instances, i.ID)
	if in {
		next.Instances[i.ID] = i
	}
	w.view = next
}

func (w *simulation) heartbeat() {
	if w.now.Sub(epoch)%(300*time.Millisecond) != 0 {
		return
	}
	w.heartbeats++
	n := w.nodes[w.heartbeatTarget]
	if !w.reachable(n) || w.chance(30) {
		w.missed()
		return
	}
	heartbeat := engineapi.Heartbeat{Announcement: announcement("e1", simulationSlots), Sequence: w.heartbeats}
	for _, id := range w.running() {
		heartbeat.Held = append(heartbeat.Held, heldBy(id, w.owner.Owner()))
	}
	if n.core.isHomeFor(heartbeat.Announcement) {
		n.core.heartbeat(w.now, heartbeat)
	} else {
		n.core.misdirectedHeartbeat(w.now, heartbeat)
	}
	if w.chance(30) { // the reply is lost
		w.missed()
		return
	}
	w.misses = 0
	if home, ok := fleet.HomeOf("e1", zoneNear, n.core.view); ok {
		w.setHeartbeatTarget(home.ID)
	}
}

func (w *simulation) missed() {
	w.misses++
	if w.misses >= 2 {
		w.heartbeatTarget, w.misses = w.random.IntN(len(w.nodes)), 0
	}
}

func (w *simulation) setHeartbeatTarget(id fleet.InstanceID) {
	for n, o := range w.nodes {
		if o.self.ID == id {
			w.heartbeatTarget = n
		}
	}
}

// ask requests slots from every running instance, also from those cut off from
// the control group.
func (w *simulation) ask() {
	for n, o := range w.nodes {
		if w.now.Before(o.frozenUntil) {
			continue
		}
		w.attempt++
		id := fmt.Sprint("x", w.attempt)
		got, _ := o.core.grant(w.now, requestFor(id, w.now))
		if got.status != statusGranted {
			continue
		}
		w.grantCount++
		k := &work{attempt: id, node: n, until: w.now.Add(got.expires)}
		if got.expires > 0 && !w.chance(100) {
			k.begin = w.now.Add(w.randomDuration(got.expires))
			if w.chance(300) {
				k.begin = k.until.Add(-time.Nanosecond)
			}
			k.end = k.begin.Add(w.randomDuration(3 * time.Second))
		}
		w.grants = append(w.grants, k)
	}
}

// run starts and ends work at the engine.
func (w *simulation) run() {
	kept := w.grants[:0]
	for _, k := range w.grants {
		begins := !k.begin.IsZero() && !w.now.Before(k.begin)
		switch {
		case begins:
			w.engine[k.attempt] = k
		case w.now.Before(k.until):
			kept = append(kept, k)
		}
	}
	w.grants = kept
	for _, id := range w.running() {
		if k := w.engine[id]; !w.now.Before(k.end) {
			delete(w.engine, id)
			w.release(k)
		}
	}
}

// running returns the engine's attempts in a fixed order.
func (w *simulation) running() []string { return slices.Sorted(maps.Keys(w.engine)) }

func (w *simulation) release(k *work) {
	if w.chance(200) {
		return
	}
	for _, n := range w.nodes {
		if w.reachable(n) {
			finish(n.core, w.now, k.attempt)
		}
	}
}

// deliver delivers handovers; about a third of them are lost.
func (w *simulation) deliver() {
	for _, n := range w.nodes {
		if w.now.Before(n.frozenUntil) {
			continue
		}
		for _, m := range n.core.takeEffects().handovers {
			for _, to := range w.nodes {
				if to.self.RPCAddress == m.address && w.reachable(to) && w.reachable(n) && !w.chance(300) {
					to.core.takeHandover(w.now, m.message)
				}
			}
		}
	}
}

// inUse counts the work at the engine now and the work that may still start.
func (w *simulation) inUse() int { return len(w.engine) + len(w.grants) }

// simulate runs a simulation for a minute. It returns the largest number of
// slots in use at once and the number of grants.
func simulate(seed uint64, g testFaults) (maxInUse, grantCount int) {
	w := newSimulation(seed, g)
	for range int(time.Minute / simulationStep) {
		w.step()
		maxInUse = max(maxInUse, w.inUse())
	}
	return maxInUse, w.grantCount
}

// seedCount is how many minutes are simulated; SOAK_SEEDS sets it for long
// runs.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SOAK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 100
}

// Some sequence of freezes, cuts and view changes that no other test covers
// could grant more than the slots, and engines would refuse granted requests as
// full. Each seed is one minute.
func TestSlotsUnderRandomFaults(t *testing.T) {
	total := 0
	for seed := range seedCount() {
		maxInUse, grantCount := simulate(seed, testFaults{})
		assert.Assert(t, maxInUse <= simulationSlots, "seed %d: %d in use for %d slots", seed, maxInUse, simulationSlots)
		total += grantCount
	}
	t.Logf("%d grants over %d minutes, never more than %d in use", total, seedCount(), simulationSlots)
	assert.Assert(t, total > 10*int(seedCount()), "hardly anything was granted")
}

// Each protection is needed: without it, some seed uses more than the slots.
func TestSlotsUnderRandomFaultsNeedEachProtection(t *testing.T) {
	const enough = 1000
	for name, g := range map[string]testFaults{
		"no wait for earlier grants":      {noGrantDelay: true},
		"handovers of any home":           {anyHandover: true},
		"missed views ignored":            {noMissedViewCheck: true},
		"grants freed before a held list": {earlyExpiry: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(enough) {
				if maxInUse, _ := simulate(seed, g); maxInUse > simulationSlots {
					t.Logf("seed %d: %d in use for %d slots", seed, maxInUse, simulationSlots)
					return
				}
			}
			t.Fatal("the test must fail without the protection")
		})
	}
}
