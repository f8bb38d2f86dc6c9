package endpointlimit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// controlGroup is a control group with a Server at each member.
type controlGroup struct {
	net     *testkit.Network
	members []string
}

func newControlGroup(n int) *controlGroup {
	g := &controlGroup{net: &testkit.Network{}}
	for i := range n {
		g.members = append(g.members, fmt.Sprint("member", i))
	}
	for _, m := range g.members {
		g.net.Serve(m, NewServer(m, func() []string { return g.members }, nil), pb.DRPCLimitKeeperDescription{})
	}
	return g
}

func (g *controlGroup) client(entry string) *Client {
	return NewClient(g.net.Dialer(entry), func() []string { return g.members }, rand.New(rand.NewPCG(1, 2)).Shuffle)
}

func (g *controlGroup) calls() int {
	total := 0
	for _, m := range g.members {
		total += g.net.CallCount(m)
	}
	return total
}

var someEndpoint = Endpoint{ID: "e1"}

// receive passes a signal to a client now, from the answer to a request that was sent just before.
func receive(c *Client, signal Signal) {
	time.Sleep(time.Millisecond)
	c.RecordSignal(time.Now(), time.Now().Add(-time.Microsecond), someEndpoint, signal)
}

func named(perSecond float64) Signal { return Signal{Kind: KindLimit, PerSecond: perSecond} }

// Guards against an entry that observes a limit which has ended, since it sends no request
// whose answer would say so: another entry has reported the end to the limit servers.
func TestEndOfLimitReachesOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newControlGroup(5)
		one, other := g.client("one"), g.client("other")
		receive(one, named(0.2))
		receive(other, named(0.2))
		assert.Assert(t, other.AcquirePermit(t.Context(), someEndpoint) != nil)
		receive(one, Signal{})
		assert.NilError(t, one.ReportLimit(t.Context(), someEndpoint))
		assert.Assert(t, other.AcquirePermit(t.Context(), someEndpoint) == nil)
		assert.Assert(t, !other.Limit(someEndpoint).Limited)
	})
}

// Guards against outdated signals that end a limit: one that an entry received before the
// limit was named again, and an answer that was made before the limit was named.
func TestOutdatedSignalDoesNotEndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newControlGroup(3)
		one, other := g.client("one"), g.client("other")
		receive(one, named(1))
		receive(one, Signal{})
		assert.NilError(t, one.ReportLimit(t.Context(), someEndpoint))
		sent := time.Now()
		receive(other, named(1))
		assert.Assert(t, other.AcquirePermit(t.Context(), someEndpoint) != nil)
		other.RecordSignal(time.Now(), sent, someEndpoint, Signal{})
		assert.Assert(t, other.Limit(someEndpoint).Limited)
	})
}

// Guards against an invalid signal that ends a limit.
func TestInvalidSignalChangesNothing(t *testing.T) {
	c := NewDisconnectedClient()
	receive(c, named(2))
	receive(c, Signal{Kind: KindInvalid})
	assert.Equal(t, c.Limit(someEndpoint).PerSecond, 2.0)
}

// Guards against a limit that binds another incarnation than the one that named it.
func TestLimitIsOfOneIncarnation(t *testing.T) {
	c := NewDisconnectedClient()
	receive(c, named(2))
	assert.Assert(t, !c.Limit(Endpoint{ID: someEndpoint.ID, Born: 7}).Limited)
}

// Guards against an entry that sends without a permit when it reaches no limit server, while
// other entries send as well.
func TestEntryWithoutLimitServersSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newControlGroup(5)
		c := g.client("entry")
		receive(c, named(50))
		time.Sleep(time.Minute)
		assert.Assert(t, c.AcquirePermit(t.Context(), someEndpoint) == nil)
		g.net.SetCut(true, "entry", g.members...)
		start := time.Now()
		for range 20 {
			denied := c.AcquirePermit(t.Context(), someEndpoint)
			assert.Assert(t, denied != nil && denied.NoLimitServer && denied.RetryAfter > 0)
		}
		assert.Assert(t, time.Since(start) < time.Second, "unreachable limit servers must be skipped for a while")
	})
}

// Guards against hundreds of entries that retry all the time for the same few permits.
func TestDeniedEntriesRetryRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newControlGroup(5)
		const entries = 200
		var all sync.WaitGroup
		for n := range entries {
			c := g.client(fmt.Sprint("entry", n))
			receive(c, named(1))
			all.Go(func() {
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
					pause := 20 * time.Millisecond
					if denied := c.AcquirePermit(t.Context(), someEndpoint); denied != nil {
						pause = denied.RetryAfter
					}
					time.Sleep(pause)
				}
			})
		}
		all.Wait()
		t.Logf("%d calls in 20 s", g.calls())
		assert.Assert(t, g.calls() < 5000, "%d calls in 20 s", g.calls())
	})
}

// Guards against a view that keeps limits of endpoints that were removed long ago.
func TestUnlistedEndpointsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewDisconnectedClient()
		receive(c, named(2))
		unlisted := func(Endpoint) bool { return false }
		c.RemoveUnlisted(time.Now().Add(time.Second), unlisted)
		assert.Assert(t, c.Limit(someEndpoint).Limited)
		c.RemoveUnlisted(time.Now().Add(2*unlistedRetention), unlisted)
		assert.Assert(t, !c.Limit(someEndpoint).Limited)
	})
}

// Guards against processes that agree on the members of the group but not on the limit servers.
func TestLimitServersDoNotDependOnOrder(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e", "f"}
	want := LimitServers(members, someEndpoint)
	assert.Equal(t, len(want), maxLimitServers)
	rand.New(rand.NewPCG(4, 4)).Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	assert.DeepEqual(t, LimitServers(append(members, members[0]), someEndpoint), want)
	assert.Equal(t, len(LimitServers(nil, someEndpoint)), 0)
}
