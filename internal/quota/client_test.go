package quota

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// group is the quota servers of a test.
type group struct {
	net     *testkit.Network
	members []string
}

func newGroup(n int) *group {
	g := &group{net: &testkit.Network{}}
	for i := range n {
		g.members = append(g.members, fmt.Sprint("server", i))
		g.serve(g.members[i], n)
	}
	return g
}

// serve starts a quota server with an empty ledger.
func (g *group) serve(address string, n int) {
	g.net.Serve(address, NewServer(func() int { return n }, nil), pb.DRPCQuotaKeeperDescription{})
}

func (g *group) client(entry string) *Client {
	return NewClient(g.net.Dialer(entry), func() []string { return g.members }, rand.New(rand.NewPCG(1, 2)).Shuffle)
}

// calls returns the number of calls to all servers.
func (g *group) calls() int {
	total := 0
	for _, m := range g.members {
		total += g.net.CallCount(m)
	}
	return total
}

// takeUntilExhausted takes until the quota is exhausted.
func takeUntilExhausted(t *testing.T, c *Client, cost float64) (taken float64, exhausted *ExhaustedError) {
	t.Helper()
	for {
		_, err := c.Take(t.Context(), "team", limit, cost)
		if errors.As(err, &exhausted) {
			return taken, exhausted
		}
		assert.NilError(t, err)
		taken += cost
	}
}

// All requests of a team arrive at one entry. It must be able to use the whole quota at once,
// although each quota server has only a part of it.
func TestOneEntryCanUseAllOfAQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(8)
		time.Sleep(time.Minute)
		began := time.Now()
		taken, exhausted := takeUntilExhausted(t, g.client("entry"), 1)
		assert.Assert(t, taken >= 300 && taken < 320, "%v", taken)
		assert.Assert(t, exhausted.RetryAfter > 0)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond)
	})
}

// A team goes on sending after its quota is exhausted. Servers that have said so are not asked
// again before something can be left.
func TestExhaustedServersAreNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(8)
		time.Sleep(time.Minute)
		c := g.client("entry")
		_, exhausted := takeUntilExhausted(t, c, 50)
		before := g.calls()
		for range 100 {
			_, err := c.Take(t.Context(), "team", limit, 1)
			assert.Assert(t, errors.As(err, new(*ExhaustedError)))
		}
		assert.Equal(t, g.calls(), before)
		time.Sleep(exhausted.RetryAfter + time.Millisecond)
		_, err := c.Take(t.Context(), "team", limit, 1)
		assert.NilError(t, err)
		assert.Equal(t, g.calls(), before+1)
	})
}

// Quota servers die, restart, or lose contact in one direction. A request goes on to another
// server within some tens of milliseconds, and the next requests don't wait again.
func TestQuotaServersFail(t *testing.T) {
	for name, fail := range map[string]func(g *group, server string){
		"die":             func(g *group, server string) { g.net.Remove(server) },
		"receive nothing": func(g *group, server string) { g.net.SetCut(true, "entry", server) },
		"send nothing":    func(g *group, server string) { g.net.SetCut(true, server, "entry") },
		"restart":         func(g *group, server string) { g.serve(server, 8) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(8)
				time.Sleep(time.Minute)
				c := g.client("entry")
				for _, server := range g.members[:3] {
					fail(g, server)
				}
				began := time.Now()
				for range 10 {
					_, err := c.Take(t.Context(), "team", limit, 1)
					assert.NilError(t, err)
				}
				assert.Assert(t, time.Since(began) <= 3*serverTimeout)
			})
		})
	}
}

// An entry has lost contact with all quota servers. No request may wait for each of them in
// turn: its caller can be served by another entry in that time.
func TestEntryCutOffFromAllQuotaServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(9)
		g.net.SetCut(true, "entry", g.members...)
		c := g.client("entry")
		began := time.Now()
		for range 100 {
			sent := time.Now()
			_, err := c.Take(t.Context(), "team", limit, 1)
			assert.ErrorIs(t, err, ErrNoQuotaServer)
			assert.Assert(t, time.Since(sent) <= maxFailedServers*serverTimeout)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
	})
}

// No quota server can be reached: Take returns an error, and asks again with the next request
// once the first server is back.
func TestNoQuotaServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		for _, m := range g.members {
			g.net.Remove(m)
		}
		c := g.client("entry")
		_, err := c.Take(t.Context(), "team", limit, 1)
		assert.ErrorIs(t, err, ErrNoQuotaServer)
		for _, m := range g.members {
			g.serve(m, 3)
		}
		time.Sleep(minBackoff)
		_, err = c.Take(t.Context(), "team", limit, 1)
		assert.NilError(t, err)
	})
}

// A quota server that doesn't know yet how many servers there are must not grant anything: it
// could grant the whole quota.
func TestQuotaServerWithoutAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		g.serve(g.members[0], 0)
		_, err := g.client("entry").Take(t.Context(), "team", limit, 1)
		assert.ErrorIs(t, err, ErrNoQuotaServer)
	})
}

// A request didn't run after all: its part of the quota can be taken again.
func TestReturnReachesTheQuotaServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		time.Sleep(time.Minute)
		c := g.client("entry")
		grant, err := c.Take(t.Context(), "team", limit, 400)
		assert.NilError(t, err)
		assert.NilError(t, c.Return(t.Context(), grant))
		_, err = c.Take(t.Context(), "team", limit, 300)
		assert.NilError(t, err)
		_, err = c.Take(t.Context(), "team", limit, 300)
		assert.Assert(t, errors.As(err, new(*ExhaustedError)))
	})
}

// Thousands of teams have a limited number of metric series.
func TestMetricsAreBounded(t *testing.T) {
	m := newMetrics(nil)
	names := map[string]bool{}
	for n := range 1000 {
		names[m.label(fmt.Sprint(n))] = true
	}
	assert.Equal(t, len(names), maxTeamLabels+1)
	assert.Equal(t, m.label("7"), "7")
}
