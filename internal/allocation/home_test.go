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

// fleet is a service of decode endpoints with one slot each, and its homes.
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

// serve starts a home without reservations.
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

func request(exchange string) allocation.ReservationRequest {
	return allocation.ReservationRequest{Exchange: exchange, PromptTokens: 10, CapacityTokens: 10, AnswerDuration: 3 * time.Second}
}

// homeOf returns the address of the service's home.
func (f *fleet) homeOf(t *testing.T, c *allocation.Client) string {
	p, err := c.Allot(t.Context(), "s", request("first"), 0)
	assert.NilError(t, err)
	assert.NilError(t, c.Settle(t.Context(), p, allocation.OutcomeDone))
	return p.Home
}

// Guards against entries that choose different homes, none of which then tracks all
// reservations.
func TestEntriesAgreeOnTheHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(5, 3)
		home := f.homeOf(t, f.client("a"))
		for n := range 20 {
			assert.Equal(t, f.homeOf(t, f.client(fmt.Sprint(n))), home)
		}
	})
}

// Guards against requests that wait longer than 100 ms for a home that died or doesn't
// respond: the next home by hash serves them, and the first one is used again later.
func TestHomeFails(t *testing.T) {
	for name, fail := range map[string]func(f *fleet, home string){
		"dies":                   func(f *fleet, home string) { f.net.Remove(home) },
		"receives nothing":       func(f *fleet, home string) { f.net.SetCut(true, "entry", home) },
		"answers are lost":       func(f *fleet, home string) { f.net.SetCut(true, home, "entry") },
		"restarts without state": func(f *fleet, home string) { f.serve(home) },
		"is cut off from one":    func(f *fleet, home string) { f.net.SetCut(true, "entry", home) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3, 2)
				c := f.client("entry")
				home := f.homeOf(t, c)
				fail(f, home)
				start := time.Now()
				p, err := c.Allot(t.Context(), "s", request("x"), 0)
				if err != nil {
					assert.ErrorIs(t, err, allocation.ErrNoHome)
					p, err = c.Allot(t.Context(), "s", request("x"), 0)
				}
				assert.NilError(t, err)
				assert.Assert(t, p.Endpoint != "")
				assert.Assert(t, time.Since(start) < 100*time.Millisecond, "%v", time.Since(start))
				time.Sleep(3 * time.Second)
				f.serve(home)
				f.net.SetCut(false, "entry", home)
				f.net.SetCut(false, home, "entry")
				assert.Equal(t, f.homeOf(t, c), home)
			})
		})
	}
}

// Guards against an entry that waits although no control instance can be reached.
func TestNoHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(0, 1)
		start := time.Now()
		_, err := f.client("entry").Allot(t.Context(), "s", request("x"), time.Second)
		assert.ErrorIs(t, err, allocation.ErrNoHome)
		assert.Equal(t, time.Since(start), time.Duration(0))
	})
}

// Waiting requests get released capacity, the oldest first. A request whose wait has ended
// gets none, and must not keep it from others.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		c := f.client("entry")
		held, err := c.Allot(t.Context(), "s", request("held"), 0)
		assert.NilError(t, err)
		var mu sync.Mutex
		got := map[string]allocation.Reservation{}
		var all sync.WaitGroup
		for n, wait := range []time.Duration{50, 300, 300} {
			all.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				p, err := c.Allot(context.Background(), "s", request(fmt.Sprint(n)), wait*time.Millisecond)
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
		last, err := c.Allot(t.Context(), "s", request("last"), 0)
		assert.NilError(t, err)
		assert.Equal(t, last.Endpoint, "e0")
	})
}

// Guards against a reservation that is never released, since its entry had given up before
// the reply arrived: it must expire.
func TestUnusedReservationExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1)
		c := f.client("entry")
		home := f.homeOf(t, c)
		f.net.SetCut(true, home, "entry")
		_, err := c.Allot(t.Context(), "s", request("lost"), 0)
		assert.ErrorIs(t, err, allocation.ErrNoHome)
		f.net.SetCut(false, home, "entry")
		time.Sleep(9 * time.Second)
		p, err := c.Allot(t.Context(), "s", request("next"), 0)
		assert.NilError(t, err)
		assert.Equal(t, p.Endpoint, "e0")
	})
}
