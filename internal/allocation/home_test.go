package allocation_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// fleet is a service of generating endpoints with room for one request each.
type fleet struct {
	net     *testkit.Network
	members []string
	size    int
}

func newFleet(homes, size int) *fleet {
	f := &fleet{net: &testkit.Network{}, size: size}
	for n := range homes {
		f.members = append(f.members, fmt.Sprint("home", n))
		f.serve(f.members[n])
	}
	return f
}

// serve starts a home that knows of no use.
func (f *fleet) serve(address string) {
	f.net.Serve(address, allocation.NewServer(f, nil), pb.DRPCAllotterDescription{})
}

// ModelEndpoints implements allocation.Fleet.
func (f *fleet) ModelEndpoints(string) []allocation.Endpoint {
	var list []allocation.Endpoint
	for n := range f.size {
		list = append(list, allocation.Endpoint{ID: fmt.Sprint("e", n), Slots: 1})
	}
	return list
}

// HasEntry implements allocation.Fleet.
func (f *fleet) HasEntry(string) bool { return true }

func (f *fleet) client(entry string) *allocation.Client {
	return allocation.NewClient(entry, f.net.Dialer(entry), func() []string { return f.members })
}

func ask(exchange string) allocation.Ask {
	return allocation.Ask{Exchange: exchange, Prompt: 10, Capacity: 10, Length: 3 * time.Second}
}

// homeOf gives who is home of the service.
func (f *fleet) homeOf(t *testing.T, c *allocation.Client) string {
	p, err := c.Allot(t.Context(), "s", ask("first"), 0)
	assert.NilError(t, err)
	assert.NilError(t, c.Settle(t.Context(), p, allocation.OutcomeDone))
	return p.Home
}

// All entries must take the same instance for the home, or nobody keeps account.
func TestEntriesAgreeOnTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 3)
		home := f.homeOf(t, f.client("a"))
		for n := range 20 {
			assert.Equal(t, f.homeOf(t, f.client(fmt.Sprint(n))), home)
		}
	})
}

// A home dies, or falls silent. Nobody may wait for it past a tenth of a second:
// the next one by hash answers, and the first is asked again later.
func TestHomeFails(t *testing.T) {
	for name, fail := range map[string]func(f *fleet, home string){
		"dies":                     func(f *fleet, home string) { f.net.Remove(home) },
		"hears nobody":             func(f *fleet, home string) { f.net.SetCut(true, "entry", home) },
		"is heard by nobody":       func(f *fleet, home string) { f.net.SetCut(true, home, "entry") },
		"knows nothing of before":  func(f *fleet, home string) { f.serve(home) },
		"is taken for one by some": func(f *fleet, home string) { f.net.SetCut(true, "entry", home) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3, 2)
				c := f.client("entry")
				home := f.homeOf(t, c)
				fail(f, home)
				began := time.Now()
				p, err := c.Allot(t.Context(), "s", ask("x"), 0)
				if err != nil {
					assert.ErrorIs(t, err, allocation.ErrNoHome)
					p, err = c.Allot(t.Context(), "s", ask("x"), 0)
				}
				assert.NilError(t, err)
				assert.Assert(t, p.Endpoint != "")
				assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%v", time.Since(began))
				time.Sleep(3 * time.Second)
				f.serve(home)
				f.net.SetCut(false, "entry", home)
				f.net.SetCut(false, home, "entry")
				assert.Equal(t, f.homeOf(t, c), home)
			})
		})
	}
}

// No control instance can be reached: who asks is told at once, and goes on by
// itself.
func TestNoHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, 1)
		began := time.Now()
		_, err := f.client("entry").Allot(t.Context(), "s", ask("x"), time.Second)
		assert.ErrorIs(t, err, allocation.ErrNoHome)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Who waits gets the place that comes free, the oldest first; who has waited for
// as long as it wanted gets none, and does not keep the place from others.
func TestWhoWaitsIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		c := f.client("entry")
		held, err := c.Allot(t.Context(), "s", ask("held"), 0)
		assert.NilError(t, err)
		var mu sync.Mutex
		got := map[string]allocation.Place{}
		var all sync.WaitGroup
		for n, wait := range []time.Duration{50, 300, 300} {
			all.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				p, err := c.Allot(context.Background(), "s", ask(fmt.Sprint(n)), wait*time.Millisecond)
				assert.Check(t, err)
				mu.Lock()
				defer mu.Unlock()
				got[fmt.Sprint(n)] = p
			})
		}
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, c.Settle(t.Context(), held, allocation.OutcomeDone))
		all.Wait()
		assert.Equal(t, got["0"].Endpoint, "")
		assert.Equal(t, got["1"].Endpoint, "e0")
		assert.Equal(t, got["2"].Endpoint, "")
		assert.NilError(t, c.Settle(t.Context(), got["1"], allocation.OutcomeDone))
		last, err := c.Allot(t.Context(), "s", ask("last"), 0)
		assert.NilError(t, err)
		assert.Equal(t, last.Endpoint, "e0")
	})
}

// The entry gives up while its place is on the way: nobody uses it, and it must
// come free by itself.
func TestGrantThatNobodyTakesLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		c := f.client("entry")
		home := f.homeOf(t, c)
		f.net.SetCut(true, home, "entry")
		_, err := c.Allot(t.Context(), "s", ask("lost"), 0)
		assert.ErrorIs(t, err, allocation.ErrNoHome)
		f.net.SetCut(false, home, "entry")
		time.Sleep(9 * time.Second)
		p, err := c.Allot(t.Context(), "s", ask("next"), 0)
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint, "e0")
	})
}
