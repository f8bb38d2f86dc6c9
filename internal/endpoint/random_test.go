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
	worldStep  = 50 * time.Millisecond
	worldSlots = 3
	worldLease = 2 * time.Second // of an instance
)

// world is one engine, three instances of which one is its home, the control
// group's views, and an entry that begins its work at any time that it may.
// Instances are cut off, frozen, thrown out of the view, come back and skip
// views; heartbeats, their replies, releases and handovers get lost.
type world struct {
	random  *rand.Rand
	now     time.Time
	view    fleet.View
	nodes   []*node
	owner   fleet.Instance
	at      int // the node that gets heartbeats
	misses  int
	beats   uint64
	grants  []*work
	engine  map[string]*work
	given   int
	attempt int
}

// node is one instance.
type node struct {
	self      fleet.Instance
	core      *core
	confirmed time.Time
	cut       time.Time // cut off until
	frozen    time.Time // not running until
}

// work is a grant that is used, or not, before it ends.
type work struct {
	attempt string
	node    int
	begin   time.Time // zero: never
	until   time.Time // end of the grant's life
	end     time.Time
}

func newWorld(seed uint64, g guards) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 3)), now: epoch, owner: instance("owner", zoneFar), engine: map[string]*work{}}
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

func (w *world) chance(perMille int) bool { return w.random.IntN(1000) < perMille }

func (w *world) some(most time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(most)))
}

// reachable tells whether n hears others now.
func (w *world) reachable(n *node) bool { return !w.now.Before(n.cut) && !w.now.Before(n.frozen) }

// current is what membership says: confirmed within the lease.
func (w *world) current(n *node) bool { return w.now.Sub(n.confirmed) < worldLease }

func (w *world) step() {
	w.now = w.now.Add(worldStep)
	w.faults()
	for _, n := range w.nodes {
		if w.reachable(n) && w.chance(300) {
			n.confirmed = w.now
			if _, in := w.view.Instances[n.self.ID]; !in && w.chance(200) {
				w.change(n.self, true)
			}
			n.core.observe(w.now, w.view, true)
		}
		if !w.now.Before(n.frozen) {
			n.core.observe(w.now, n.core.view, w.current(n))
			n.core.tick(w.now)
		}
	}
	w.heartbeat()
	w.ask()
	w.run()
	w.deliver()
}

func (w *world) faults() {
	for _, n := range w.nodes {
		if w.chance(3) {
			n.cut = w.now.Add(w.some(6 * time.Second))
		}
		if w.chance(3) {
			n.frozen = w.now.Add(w.some(6 * time.Second))
		}
		_, in := w.view.Instances[n.self.ID]
		if in && w.now.Sub(n.confirmed) > worldLease && len(w.view.Instances) > 2 {
			w.change(n.self, false)
		}
	}
	if w.chance(5) { // drained or taken back: the view changes while it lives
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if i, in := w.view.Instances[n.self.ID]; in {
			i.Draining = !i.Draining
			w.change(i, true)
		}
	}
}

func (w *world) change(i fleet.Instance, in bool) {
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

func (w *world) heartbeat() {
	if w.now.Sub(epoch)%(300*time.Millisecond) != 0 {
		return
	}
	w.beats++
	n := w.nodes[w.at]
	if !w.reachable(n) || w.chance(30) {
		w.missed()
		return
	}
	beat := engineapi.Heartbeat{Announcement: announcement("e1", worldSlots), Sequence: w.beats}
	for _, id := range w.running() {
		beat.Held = append(beat.Held, heldBy(id, w.owner.Owner()))
	}
	if n.core.homeHere(beat.Announcement) {
		n.core.heartbeat(w.now, beat)
	} else {
		n.core.redirected(w.now, beat)
	}
	if w.chance(30) { // the reply is lost
		w.missed()
		return
	}
	w.misses = 0
	if home, ok := fleet.HomeOf("e1", zoneNear, n.core.view); ok {
		w.goTo(home.ID)
	}
}

func (w *world) missed() {
	w.misses++
	if w.misses >= 2 {
		w.at, w.misses = w.random.IntN(len(w.nodes)), 0
	}
}

func (w *world) goTo(id fleet.InstanceID) {
	for n, o := range w.nodes {
		if o.self.ID == id {
			w.at = n
		}
	}
}

// ask asks every instance that runs for slots, also those cut off from control.
func (w *world) ask() {
	for n, o := range w.nodes {
		if w.now.Before(o.frozen) {
			continue
		}
		w.attempt++
		id := fmt.Sprint("x", w.attempt)
		got, _ := o.core.grant(w.now, askFor(id, w.now))
		if got.status != statusGranted {
			continue
		}
		w.given++
		k := &work{attempt: id, node: n, until: w.now.Add(got.expires)}
		if got.expires > 0 && !w.chance(100) {
			k.begin = w.now.Add(w.some(got.expires))
			if w.chance(300) {
				k.begin = k.until.Add(-time.Nanosecond)
			}
			k.end = k.begin.Add(w.some(3 * time.Second))
		}
		w.grants = append(w.grants, k)
	}
}

// run begins and ends work at the engine.
func (w *world) run() {
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

// running lists the engine's attempts in a set order.
func (w *world) running() []string { return slices.Sorted(maps.Keys(w.engine)) }

func (w *world) release(k *work) {
	if w.chance(200) {
		return
	}
	for _, n := range w.nodes {
		if w.reachable(n) {
			finish(n.core, w.now, k.attempt)
		}
	}
}

// deliver carries handovers; a third of them get lost.
func (w *world) deliver() {
	for _, n := range w.nodes {
		if w.now.Before(n.frozen) {
			continue
		}
		for _, m := range n.core.drain().handovers {
			for _, to := range w.nodes {
				if to.self.RPCAddress == m.address && w.reachable(to) && w.reachable(n) && !w.chance(300) {
					to.core.takeHandover(w.now, m.message)
				}
			}
		}
	}
}

// inUse is what could be at the engine now: what is, and what may yet begin.
func (w *world) inUse() int { return len(w.engine) + len(w.grants) }

// play runs a world for a minute; it gives the most slots in use at once and
// how many were given.
func play(seed uint64, g guards) (most, given int) {
	w := newWorld(seed, g)
	for range int(time.Minute / worldStep) {
		w.step()
		most = max(most, w.inUse())
	}
	return most, w.given
}

// seedCount is how many minutes are played; SOAK_SEEDS sets it for long runs.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SOAK_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 100
}

// Callers are refused as "full" what they were granted, after some sequence of
// freezes, cuts and view changes that nobody thought of. Seeded; each seed is
// a minute.
func TestSlotsUnderRandomFaults(t *testing.T) {
	total := 0
	for seed := range seedCount() {
		most, given := play(seed, guards{})
		assert.Assert(t, most <= worldSlots, "seed %d: %d in use for %d slots", seed, most, worldSlots)
		total += given
	}
	t.Logf("%d grants over %d minutes, never more than %d in use", total, seedCount(), worldSlots)
	assert.Assert(t, total > 10*int(seedCount()), "hardly anything was granted")
}

// Each guard is needed: without it some minute gives too many slots.
func TestSlotsUnderRandomFaultsWithoutAGuard(t *testing.T) {
	const enough = 1000
	for name, g := range map[string]guards{
		"no wait for earlier grants":      {noQuiet: true},
		"handovers of any home":           {anyHandover: true},
		"missed views ignored":            {noDoubt: true},
		"grants freed before a held list": {earlyLapse: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(enough) {
				if most, _ := play(seed, g); most > worldSlots {
					t.Logf("seed %d: %d in use for %d slots", seed, most, worldSlots)
					return
				}
			}
			t.Fatal("the proof must fail without its guard")
		})
	}
}
