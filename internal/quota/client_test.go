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

// group is the keepers of a test.
type group struct {
	net     *testkit.Network
	members []string
}

func newGroup(n int) *group {
	g := &group{net: &testkit.Network{}}
	for i := range n {
		g.members = append(g.members, fmt.Sprint("keeper", i))
		g.serve(g.members[i], n)
	}
	return g
}

// serve starts a keeper that has saved up nothing.
func (g *group) serve(address string, n int) {
	g.net.Serve(address, NewServer(func() int { return n }, nil), pb.DRPCQuotaKeeperDescription{})
}

func (g *group) client(entry string) *Client {
	return NewClient(g.net.Dialer(entry), func() []string { return g.members }, rand.New(rand.NewPCG(1, 2)).Shuffle)
}

// calls counts the questions that were asked.
func (g *group) calls() int {
	total := 0
	for _, m := range g.members {
		total += g.net.Calls(m)
	}
	return total
}

// takeAll takes until the quota is spent.
func takeAll(t *testing.T, c *Client, cost float64) (taken float64, spent *SpentError) {
	t.Helper()
	for {
		_, err := c.Take(t.Context(), "team", limit, cost)
		if errors.As(err, &spent) {
			return taken, spent
		}
		assert.NilError(t, err)
		taken += cost
	}
}

// All of a team's callers come to one entry. It must be able to use the whole quota,
// though each keeper has a part of it only, and at once.
func TestOneEntryCanUseAllOfAQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(8)
		time.Sleep(time.Minute)
		began := time.Now()
		taken, spent := takeAll(t, g.client("entry"), 1)
		assert.Assert(t, taken >= 300 && taken < 320, "%v", taken)
		assert.Assert(t, spent.Again > 0)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond)
	})
}

// A team goes on sending after its quota is spent. Keepers that have said so are not
// asked again before there can be something left.
func TestSpentKeepersAreNotAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(8)
		time.Sleep(time.Minute)
		c := g.client("entry")
		_, spent := takeAll(t, c, 50)
		before := g.calls()
		for range 100 {
			_, err := c.Take(t.Context(), "team", limit, 1)
			assert.Assert(t, errors.As(err, new(*SpentError)))
		}
		assert.Equal(t, g.calls(), before)
		time.Sleep(spent.Again + time.Millisecond)
		_, err := c.Take(t.Context(), "team", limit, 1)
		assert.NilError(t, err)
		assert.Equal(t, g.calls(), before+1)
	})
}

// Keepers die, or are cut off one way or the other. A request goes on to another one in
// a few hundredths of a second, and the next ones don't wait again.
func TestKeepersFail(t *testing.T) {
	for name, fail := range map[string]func(g *group, keeper string){
		"die":                 func(g *group, keeper string) { g.net.Remove(keeper) },
		"hear nobody":         func(g *group, keeper string) { g.net.SetCut(true, "entry", keeper) },
		"are heard by nobody": func(g *group, keeper string) { g.net.SetCut(true, keeper, "entry") },
		"begin anew":          func(g *group, keeper string) { g.serve(keeper, 8) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(8)
				time.Sleep(time.Minute)
				c := g.client("entry")
				for _, keeper := range g.members[:3] {
					fail(g, keeper)
				}
				began := time.Now()
				for range 10 {
					_, err := c.Take(t.Context(), "team", limit, 1)
					assert.NilError(t, err)
				}
				assert.Assert(t, time.Since(began) <= 3*keeperTimeout)
			})
		})
	}
}

// An entry is cut off from all keepers. No request may wait for each of them in turn:
// its caller can be served by another entry in that time.
func TestEntryThatIsCutOffFromAllKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(9)
		g.net.SetCut(true, "entry", g.members...)
		c := g.client("entry")
		began := time.Now()
		for range 100 {
			asked := time.Now()
			_, err := c.Take(t.Context(), "team", limit, 1)
			assert.ErrorIs(t, err, ErrNoKeeper)
			assert.Assert(t, time.Since(asked) <= mostFailed*keeperTimeout)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
	})
}

// No keeper can be reached: who asks is told, and asks again with the next request once
// the first one is back.
func TestNoKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		for _, m := range g.members {
			g.net.Remove(m)
		}
		c := g.client("entry")
		_, err := c.Take(t.Context(), "team", limit, 1)
		assert.ErrorIs(t, err, ErrNoKeeper)
		for _, m := range g.members {
			g.serve(m, 3)
		}
		time.Sleep(firstLeft)
		_, err = c.Take(t.Context(), "team", limit, 1)
		assert.NilError(t, err)
	})
}

// A keeper that does not know yet how many there are must not give out the whole.
func TestKeeperWithoutAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		g.serve(g.members[0], 0)
		_, err := g.client("entry").Take(t.Context(), "team", limit, 1)
		assert.ErrorIs(t, err, ErrNoKeeper)
	})
}

// A request didn't run after all: its part of the quota can be taken again.
func TestReturnReachesTheKeeper(t *testing.T) {
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
		assert.Assert(t, errors.As(err, new(*SpentError)))
	})
}

// Thousands of teams have metrics of a bounded number.
func TestMetricsAreBounded(t *testing.T) {
	m := newMetrics(nil)
	names := map[string]bool{}
	for n := range 1000 {
		names[m.label(fmt.Sprint(n))] = true
	}
	assert.Equal(t, len(names), mostTeams+1)
	assert.Equal(t, m.label("7"), "7")
}
