package endpoint

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// handedOver is an old home with one unconfirmed grant, the next home, and the
// handover between them after the old home's last heartbeat, number 20.
func handedOver(t *testing.T, g guards) (old, next *core, message *pb.HandoverRequest, now time.Time) {
	old, next, _, after := joining(g)
	now = at(10 * time.Second)
	old.tick(now)
	beatCore(old, now, announcement("e1", 2), 20)
	assert.Equal(t, statusAt(old, now, "x"), statusGranted)
	old.drain()
	old.observe(now, after, true)
	next.observe(now, after, true)
	out := old.drain()
	assert.Equal(t, len(out.handovers), 1)
	return old, next, out.handovers[0].message, now
}

// granted counts how many slots of e1 a core gives away at now.
func granted(c *core, now time.Time) int {
	n := 0
	for _, id := range []string{"n1", "n2", "n3"} {
		if statusAt(c, now, id) == statusGranted {
			n++
		}
	}
	return n
}

// A daemon joins and becomes home of some engines. Without a word from the old
// home they would take nothing new for five seconds.
func TestHandoverSparesTheWait(t *testing.T) {
	_, next, message, now := handedOver(t, guards{})
	assert.Assert(t, next.takeHandover(now, message))
	beatCore(next, now, announcement("e1", 2), 21)
	assert.Equal(t, granted(next, now), 1, "two slots, one of them granted by the old home")

	_, next, message, now = handedOver(t, guards{})
	beatCore(next, now, announcement("e1", 2), 21)
	assert.Equal(t, granted(next, now), 0, "nothing is known yet")
	next.takeHandover(now, message)
	assert.Equal(t, granted(next, now), 1, "the handover may come after the heartbeat")
}

// Between the old home and this one a third had the engine for a moment, and
// granted. The old home's word isn't the last; to take it for whole gives
// slots twice.
func TestHandoverOfAnEarlierHomeIsNotEnough(t *testing.T) {
	run := func(g guards) int {
		_, next, message, now := handedOver(t, g)
		next.takeHandover(now, message)
		beatCore(next, now, announcement("e1", 2), 22) // 21 went to a third home
		return granted(next, now)
	}
	assert.Equal(t, run(guards{}), 0)
	assert.Equal(t, run(guards{anyHandover: true}), 1, "the proof must fail without its guard")
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
			_, next, message, now := handedOver(t, guards{})
			test.change(message)
			next.takeHandover(now, message)
			beatCore(next, now, announcement("e1", 2), 21)
			assert.Equal(t, granted(next, now), test.want)
		})
	}
}

// A home sleeps through two view changes: by the first another instance became
// home and granted, by the second it is home again. From its own views nothing
// has changed, and it would grant beside the other's grants.
func TestHomeThatMissedAView(t *testing.T) {
	run := func(g guards, sequence uint64) int {
		a, b := homes("e1")
		owner := instance("owner", zoneFar)
		c := coreAt(epoch, b, viewOf(1, a, b, owner), g)
		now := at(10 * time.Second)
		beatCore(c, now, announcement("e1", 2), 20)
		c.observe(now, viewOf(3, a, b, owner), true)
		n := granted(c, now)
		beatCore(c, now, announcement("e1", 2), sequence)
		return n + granted(c, now)
	}
	assert.Equal(t, run(guards{}, 21), 2, "no other home has heard the endpoint")
	assert.Equal(t, run(guards{}, 22), 0, "another may have granted")
	assert.Assert(t, run(guards{noDoubt: true}, 22) > 0, "the proof must fail without its guard")
}

// A fleet starts: an endpoint has announced itself, another daemon joins and
// becomes its home, and the endpoint's first heartbeat still goes to the first
// one. Its next would be the first that its home hears, and callers would wait
// five seconds for nothing.
func TestFirstHeartbeatAtAnotherInstance(t *testing.T) {
	for name, announced := range map[string]bool{"announced there": true, "unknown there": false} {
		t.Run(name, func(t *testing.T) {
			old, next, _, after := joining(guards{})
			if announced {
				old.announce(epoch, announcement("e1", 2))
			}
			now := at(200 * time.Millisecond)
			old.observe(now, after, true)
			next.observe(now, after, true)
			old.redirected(now, engineapi.Heartbeat{Announcement: announcement("e1", 2), Sequence: 1})
			for _, m := range old.drain().handovers {
				next.takeHandover(now, m.message)
			}
			beatCore(next, now, announcement("e1", 2), 2)
			assert.Equal(t, granted(next, now), 2)
			old.tick(at(10 * time.Second))
			assert.Equal(t, len(old.drain().probes), 0, "an instance probes only endpoints that it is home of")
		})
	}
}

// The whole way: a daemon joins, the engine is sent on by its old home, and is
// granted by the new one within a second, counting the old grant.
func TestHandoverBetweenDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet(t)
		first, second := homes("e1")
		before, after := viewOf(1, first), viewOf(2, first, second)
		old, next := start(t, net, first, before), start(t, net, second, before)
		defer old.stop()
		defer next.stop()
		a := announcement("e1", 2)
		for n := range 10 {
			old.beat(a, uint64(n+1))
			time.Sleep(300 * time.Millisecond)
		}
		old.mustTake(t, "x")
		old.see(after)
		time.Sleep(50 * time.Millisecond)
		next.see(after)
		reply, _ := old.beat(a, 11)
		assert.Equal(t, reply.Home, next.source.Self().EndpointAddress)
		time.Sleep(200 * time.Millisecond)
		next.beat(a, 12)
		count := 0
		next.home.step(func(c *core, now time.Time) { count = granted(c, now) })
		assert.Equal(t, count, 1, "two slots, one granted by the old home")
	})
}
