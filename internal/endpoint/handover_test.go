package endpoint

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// handedOver returns an old home with one unconfirmed grant, the next home, and
// the handover between them after the old home's last heartbeat, number 20.
func handedOver(t *testing.T, g testFaults) (old, next *core, message *pb.HandoverRequest, now time.Time) {
	old, next, _, after := joiningHomes(g)
	now = at(10 * time.Second)
	old.tick(now)
	heartbeatTo(old, now, announcement("e1", 2), 20)
	assert.Equal(t, statusAt(old, now, "x"), statusGranted)
	old.takeEffects()
	old.observe(now, after, true)
	next.observe(now, after, true)
	out := old.takeEffects()
	assert.Equal(t, len(out.handovers), 1)
	return old, next, out.handovers[0].message, now
}

// countGrants returns how many slots of e1 a core grants at now.
func countGrants(c *core, now time.Time) int {
	n := 0
	for _, id := range []string{"n1", "n2", "n3"} {
		if statusAt(c, now, id) == statusGranted {
			n++
		}
	}
	return n
}

// A daemon joins and becomes the home of some engines. Without a handover from
// the old home they would take no new requests for five seconds.
func TestHandoverAvoidsTheGrantDelay(t *testing.T) {
	_, next, message, now := handedOver(t, testFaults{})
	assert.Assert(t, next.takeHandover(now, message))
	heartbeatTo(next, now, announcement("e1", 2), 21)
	assert.Equal(t, countGrants(next, now), 1, "two slots, one of them granted by the old home")

	_, next, message, now = handedOver(t, testFaults{})
	heartbeatTo(next, now, announcement("e1", 2), 21)
	assert.Equal(t, countGrants(next, now), 0, "nothing is known yet")
	next.takeHandover(now, message)
	assert.Equal(t, countGrants(next, now), 1, "the handover may come after the heartbeat")
}

// Between the old home and this one, a third instance was briefly the home and
// granted slots. The old home's handover is therefore incomplete; relying on it
// would grant slots twice.
func TestHandoverFromAnOlderHomeIsNotEnough(t *testing.T) {
	run := func(g testFaults) int {
		_, next, message, now := handedOver(t, g)
		next.takeHandover(now, message)
		heartbeatTo(next, now, announcement("e1", 2), 22) // 21 went to a third home
		return countGrants(next, now)
	}
	assert.Equal(t, run(testFaults{}), 0)
	assert.Equal(t, run(testFaults{anyHandover: true}), 1, "the test must fail without the protection")
}

func TestHandoverMessages(t *testing.T) {
	for name, test := range map[string]struct {
		change func(m *pb.HandoverRequest)
		want   int
	}{
		"whole":                {func(*pb.HandoverRequest) {}, 1},
		"other incarnation":    {func(m *pb.HandoverRequest) { m.EndpointIncarnation = 9 }, 0},
		"late":                 {func(m *pb.HandoverRequest) { m.HeartbeatSequence = 18 }, 0},
		"of the future":        {func(m *pb.HandoverRequest) { m.HeartbeatSequence = 30 }, 0},
		"sequence overflow":    {func(m *pb.HandoverRequest) { m.HeartbeatSequence = 1<<64 - 1 }, 0},
		"confirmed and ended":  {func(m *pb.HandoverRequest) { m.Holds[0].Confirmed = true }, 2},
		"leaving":              {func(m *pb.HandoverRequest) { m.Leaving = true }, 0},
		"hold that has lapsed": {func(m *pb.HandoverRequest) { m.Holds[0].LapseMs = 0 }, 1},
		"nameless hold":        {func(m *pb.HandoverRequest) { m.Holds[0] = &pb.HandedHold{LapseMs: 9000} }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			_, next, message, now := handedOver(t, testFaults{})
			test.change(message)
			next.takeHandover(now, message)
			heartbeatTo(next, now, announcement("e1", 2), 21)
			assert.Equal(t, countGrants(next, now), test.want)
		})
	}
}

// A home misses a view by which another instance became the home and granted
// slots; by the next view it is the home again. Its own views show no change,
// and it would grant the slots that the other one has granted.
func TestHomeThatMissedAView(t *testing.T) {
	run := func(g testFaults, sequence uint64) int {
		a, b := homes("e1")
		owner := instance("owner", zoneFar)
		c := coreAt(epoch, b, viewOf(1, a, b, owner), g)
		now := at(10 * time.Second)
		heartbeatTo(c, now, announcement("e1", 2), 20)
		c.observe(now, viewOf(3, a, b, owner), true)
		n := countGrants(c, now)
		heartbeatTo(c, now, announcement("e1", 2), sequence)
		return n + countGrants(c, now)
	}
	assert.Equal(t, run(testFaults{}, 21), 2, "no other home has received a heartbeat")
	assert.Equal(t, run(testFaults{}, 22), 0, "another may have granted")
	assert.Assert(t, run(testFaults{noMissedViewCheck: true}, 22) > 0, "the test must fail without the protection")
}

// While a fleet starts, an endpoint announces itself, another daemon joins and
// becomes its home, and the endpoint's first heartbeat still goes to the first
// daemon. The home receives only the second one, and without a handover callers
// would wait five seconds for nothing.
func TestFirstHeartbeatAtAnotherInstance(t *testing.T) {
	for name, announced := range map[string]bool{"announced there": true, "unknown there": false} {
		t.Run(name, func(t *testing.T) {
			old, next, _, after := joiningHomes(testFaults{})
			if announced {
				old.announce(epoch, announcement("e1", 2))
			}
			now := at(200 * time.Millisecond)
			old.observe(now, after, true)
			next.observe(now, after, true)
			old.misdirectedHeartbeat(now, engineapi.Heartbeat{Announcement: announcement("e1", 2), Sequence: 1})
			for _, m := range old.takeEffects().handovers {
				next.takeHandover(now, m.message)
			}
			heartbeatTo(next, now, announcement("e1", 2), 2)
			assert.Equal(t, countGrants(next, now), 2)
			old.tick(at(10 * time.Second))
			assert.Equal(t, len(old.takeEffects().probes), 0, "an instance probes only endpoints that it is home of")
		})
	}
}

// A daemon joins, the engine is redirected by its old home, and the new one
// grants its slots within a second, counting the old home's grant.
func TestHandoverBetweenDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		first, second := homes("e1")
		before, after := viewOf(1, first), viewOf(2, first, second)
		old, next := startDaemon(t, net, first, before), startDaemon(t, net, second, before)
		defer old.stop()
		defer next.stop()
		a := announcement("e1", 2)
		for n := range 10 {
			old.heartbeat(a, uint64(n+1))
			time.Sleep(300 * time.Millisecond)
		}
		old.mustAcquire(t, "x")
		old.setView(after)
		time.Sleep(50 * time.Millisecond)
		next.setView(after)
		reply, _ := old.heartbeat(a, 11)
		assert.Equal(t, reply.Home, next.source.Self().EndpointAddress)
		time.Sleep(200 * time.Millisecond)
		next.heartbeat(a, 12)
		count := 0
		next.home.step(func(c *core, now time.Time) { count = countGrants(c, now) })
		assert.Equal(t, count, 1, "two slots, one granted by the old home")
	})
}
