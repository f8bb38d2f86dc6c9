package relay

import (
	"cmp"
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
	for n := range h.shape.prefill + h.shape.decode {
		list = append(list, allocation.Endpoint{ID: fmt.Sprint("e", n), Slots: 64, IsPrefill: n < h.shape.prefill})
	}
	return list
}

// HasEntry implements allocation.Fleet.
func (h *homes) HasEntry(string) bool { return true }

func (h *homes) client(entry int) Allocator {
	name := fmt.Sprint("entry", entry)
	return allocation.NewClient(name, h.net.Dialer(name), func() []string { return h.members })
}

// largeFleet has the entries and endpoints of a site with hundreds of instances.
var largeFleet = fleetShape{entries: 190, prefill: 20, decode: 97, reserves: true}

const largeFleetMemory = 27_389

// largeFleetLoad fills two thirds of that fleet's memory, and for four seconds a little
// more than all of it.
func largeFleetLoad(at time.Duration) float64 {
	if at > 2*time.Second && at < 6*time.Second {
		return 200
	}
	return 115
}

// replayLargeFleet sends that load to the large fleet. fault, which may be nil, is called
// in the middle of the burst; without homes entries place requests by themselves.
func replayLargeFleet(t *testing.T, homeCount int, fault func(h *homes)) loadResult {
	t.Helper()
	var result loadResult
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(largeFleetMemory)
		var allocator func(int) Allocator
		if homeCount > 0 {
			h := newHomes(homeCount, largeFleet)
			allocator = h.client
			if fault != nil {
				defer time.AfterFunc(4*time.Second, func() { fault(h) }).Stop()
			}
		}
		result = runLoad(t, largeFleetLoad, newEntries(e, largeFleet, dispatch.Policy{}, allocator), e)
	})
	return result
}

// Load pattern: two hundred entries share a hundred endpoints, so that each uses an
// endpoint once in minutes and knows nothing about it. In a burst they would ask one full
// endpoint after the other, and large prompts would be refused although there is memory
// for them. The home of the service knows which endpoints have it.
func TestHomePlacesBetterThanManyEntries(t *testing.T) {
	alone, placed := replayLargeFleet(t, 0, nil), replayLargeFleet(t, 3, nil)
	t.Logf("alone: %+v; with homes: %+v", alone, placed)
	assert.Assert(t, placed.noMemory*2 < alone.noMemory, "endpoints that rejected requests")
	assert.Assert(t, placed.inTarget > alone.inTarget)
	assert.Assert(t, placed.inTarget*100 > 93*placed.asked, "on time")
}

// The home fails during a burst, or all homes do at once. Requests must be placed as well
// as without any home, and none may wait for a home that is gone.
func TestHomesDieInABurst(t *testing.T) {
	alone := replayLargeFleet(t, 0, nil)
	for name, fault := range map[string]func(h *homes){
		"the home": func(h *homes) { h.net.Remove(h.home()) },
		"all":      func(h *homes) { h.removeAll() },
		"silently": func(h *homes) { h.disconnect() },
	} {
		t.Run(name, func(t *testing.T) {
			got := replayLargeFleet(t, 3, fault)
			t.Logf("%s: %+v; alone: %+v", name, got, alone)
			assert.Assert(t, got.inTarget >= alone.inTarget)
		})
	}
}

// home returns the address of the service's home.
func (h *homes) home() string {
	p, err := h.client(0).Allot(context.Background(), "s", allocation.ReservationRequest{Exchange: "who", PromptTokens: 1, CapacityTokens: 1}, 0)
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

// disconnect cuts all entries off from all homes.
func (h *homes) disconnect() {
	for n := range largeFleet.entries {
		h.net.SetCut(true, fmt.Sprint("entry", n), h.members...)
	}
}

// An endpoint has just registered: the home knows it, and it is the least loaded, but some
// entries don't know it yet. They must go elsewhere, and must not report it as
// unreachable, which would keep all others from it.
func TestEndpointThatIsNotKnownHereYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream).withModel()
		h := &homeOfOneEndpoint{}
		fx.router.options.Allocator = h
		fx.serve(t, newModelExchange())
		synctest.Wait()
		assert.Assert(t, len(h.requests) > 1)
		assert.DeepEqual(t, h.requests[1].Excluded, []string{"new"})
		assert.DeepEqual(t, h.settled, []allocation.Outcome{allocation.OutcomeDone})
	})
}

// Guards against endpoints that no entry is given any more, since entries that are cut off from
// them say that they can't be reached: they hear no endpoint at all.
func TestEntryThatIsCutOffTellsNothingOfEndpoints(t *testing.T) {
	for name, test := range map[string]struct {
		hearsNone bool
		want      allocation.Outcome
	}{
		"it hears others": {false, allocation.OutcomeUnreachable},
		"it hears none":   {true, allocation.OutcomeDone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(stream, fails(false)).withModel()
				fx.endpoints.hearsNone = test.hearsNone
				fx.endpoints.reserveErrors = []error{&SendError{Cause: errCut}}
				h := &homeOfOneEndpoint{endpoint: "e1"}
				fx.router.options.Allocator = h
				fx.serve(t, newModelExchange())
				synctest.Wait()
				assert.DeepEqual(t, h.settled, []allocation.Outcome{test.want})
			})
		})
	}
}

// homeOfOneEndpoint is a home that names one endpoint, once; by default one that is unknown
// elsewhere.
type homeOfOneEndpoint struct {
	endpoint string // ID; empty: "new"
	mu       sync.Mutex
	requests []allocation.ReservationRequest
	settled  []allocation.Outcome
}

func (h *homeOfOneEndpoint) Allot(_ context.Context, _ string, request allocation.ReservationRequest, _ time.Duration) (allocation.Reservation, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, request)
	if len(h.requests) > 1 {
		return allocation.Reservation{}, allocation.ErrNoHome
	}
	return allocation.Reservation{Placement: allocation.Placement{Endpoint: cmp.Or(h.endpoint, "new")}}, nil
}

func (h *homeOfOneEndpoint) Settle(_ context.Context, _ allocation.Reservation, o allocation.Outcome) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = append(h.settled, o)
	return nil
}

func (h *homeOfOneEndpoint) Read(context.Context, allocation.Reservation, allocation.Outcome, time.Duration, time.Duration) error {
	return nil
}
