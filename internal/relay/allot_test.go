package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

// homes are control instances that know the endpoints of a fleetShape.
type homes struct {
	net     *testkit.Network
	members []string
	shape   fleetShape
}

func newHomes(n int, shape fleetShape) *homes {
	h := &homes{net: &testkit.Network{}, shape: shape}
	for i := range n {
		address := fmt.Sprint("home", i)
		h.members = append(h.members, address)
		h.net.Serve(address, allocation.NewServer(h, nil), pb.DRPCAllotterDescription{})
	}
	return h
}

// ModelEndpoints implements allocation.Fleet.
func (h *homes) ModelEndpoints(string) []allocation.Endpoint {
	var list []allocation.Endpoint
	for n := range h.shape.readers + h.shape.generating {
		list = append(list, allocation.Endpoint{ID: fmt.Sprint("e", n), Slots: 64, Reads: n < h.shape.readers})
	}
	return list
}

// HasEntry implements allocation.Fleet.
func (h *homes) HasEntry(string) bool { return true }

func (h *homes) client(entry int) Allotter {
	name := fmt.Sprint("entry", entry)
	return allocation.NewClient(name, h.net.Dialer(name), func() []string { return h.members })
}

// largeFleet is as many entries before as many endpoints as users of hundreds of
// instances have.
var largeFleet = fleetShape{entries: 190, readers: 20, generating: 97, holds: true}

const largeFleetMemory = 27_389

// largeBurst is what fills two thirds of that fleet's memory, and for four seconds
// a little more than all of it.
func largeBurst(at time.Duration) float64 {
	if at > 2*time.Second && at < 6*time.Second {
		return 200
	}
	return 115
}

// replayLarge sends the burst to the large fleet. harm, which may be nil, is called
// in its midst; without homes entries place by themselves.
func replayLarge(t *testing.T, count int, harm func(h *homes)) burst {
	t.Helper()
	var result burst
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(largeFleetMemory)
		var allotter func(int) Allotter
		if count > 0 {
			h := newHomes(count, largeFleet)
			allotter = h.client
			if harm != nil {
				defer time.AfterFunc(4*time.Second, func() { harm(h) }).Stop()
			}
		}
		result = play(t, largeBurst, newEntries(e, largeFleet, dispatch.Policy{}, allotter), e)
	})
	return result
}

// Two hundred entries share a hundred endpoints: each meets an endpoint once in
// minutes and knows nothing of it. In a burst they ask endpoint after endpoint
// that is full, and large prompts are refused though there is room for them. The
// home of the service knows where it is.
func TestManyEntriesAreToldWhereRoomIs(t *testing.T) {
	alone, told := replayLarge(t, 0, nil), replayLarge(t, 3, nil)
	t.Logf("alone: %+v; told: %+v", alone, told)
	assert.Assert(t, told.noRoom*2 < alone.noRoom, "endpoints that turned requests away")
	assert.Assert(t, told.inTarget > alone.inTarget)
	assert.Assert(t, told.inTarget*100 > 93*told.asked, "on time")
}

// The home dies in the midst of a burst, or all homes do at once. Requests must be
// placed as well as without any home, and none may wait for the dead.
func TestHomesDieInABurst(t *testing.T) {
	alone := replayLarge(t, 0, nil)
	for name, harm := range map[string]func(h *homes){
		"the home": func(h *homes) { h.net.Remove(h.home()) },
		"all":      func(h *homes) { h.removeAll() },
		"silently": func(h *homes) { h.silence() },
	} {
		t.Run(name, func(t *testing.T) {
			got := replayLarge(t, 3, harm)
			t.Logf("%s: %+v; alone: %+v", name, got, alone)
			assert.Assert(t, got.inTarget >= alone.inTarget)
		})
	}
}

// home gives who is home of the service.
func (h *homes) home() string {
	p, err := h.client(0).Allot(context.Background(), "s", allocation.Ask{Exchange: "who", Prompt: 1, Capacity: 1}, 0)
	if err != nil {
		return ""
	}
	return p.Home
}

func (h *homes) removeAll() {
	for _, m := range h.members {
		h.net.Remove(m)
	}
}

// silence cuts all entries off from all homes.
func (h *homes) silence() {
	for n := range largeFleet.entries {
		h.net.SetCut(true, fmt.Sprint("entry", n), h.members...)
	}
}

// An endpoint has just registered: the home knows it, and it is the emptiest, but
// some entries have not heard of it yet. They must go elsewhere, and must not tell
// that it can't be reached, which would keep all others from it.
func TestEndpointThatIsNotKnownHereYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream).model()
		h := &ahead{}
		w.router.options.Allotter = h
		w.serve(t, modelExchange())
		synctest.Wait()
		assert.Assert(t, len(h.asks) > 1)
		assert.DeepEqual(t, h.asks[1].Excluded, []string{"new"})
		assert.DeepEqual(t, h.settled, []allocation.Outcome{allocation.OutcomeDone})
	})
}

// ahead is a home that names an endpoint which nobody else knows.
type ahead struct {
	mu      sync.Mutex
	asks    []allocation.Ask
	settled []allocation.Outcome
}

func (h *ahead) Allot(_ context.Context, _ string, ask allocation.Ask, _ time.Duration) (allocation.Place, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asks = append(h.asks, ask)
	if len(h.asks) > 1 {
		return allocation.Place{}, allocation.ErrNoHome
	}
	return allocation.Place{Grant: allocation.Grant{Endpoint: "new"}}, nil
}

func (h *ahead) Settle(_ context.Context, _ allocation.Place, o allocation.Outcome) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = append(h.settled, o)
	return nil
}

func (h *ahead) Read(context.Context, allocation.Place, allocation.Outcome, time.Duration, time.Duration) error {
	return nil
}
