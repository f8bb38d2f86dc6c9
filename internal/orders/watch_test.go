package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// executed reports whether the endpoint executed an order. The endpoint's present
// state doesn't show that, since the watch may have repaired it since.
func (w *world) executed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.taken, id)
}

func (w *world) currentRole() fleet.EndpointRole {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Role
}

// Issuer a's order is in transit when a freezes for so long that it is expired
// from the fleet. Issuer b issues a newer order, waits, and reads it back as done.
// Then a's order reaches an endpoint that ignores tokens and is executed. a gets
// no token any more and can't repair that, so b's watch must.
func TestOrderOfAnExpiredIssuerArrivesAfterTheNewerOne(t *testing.T) {
	forBothEndpoints(t, func(t *testing.T, w *world) {
		frozen := make(chan struct{})
		old := w.startOlder(t, func() { <-frozen })
		synctest.Wait()
		b := w.issuer("b")
		go func() { _ = b.Watch(t.Context()) }()
		assert.Equal(t, run(t, b, role("new", fleet.RoleDecode)), OutcomeDone)
		w.apply(&pb.Command{Body: &pb.Command_ExpireInstance{ExpireInstance: &pb.ExpireInstance{Id: "a", Incarnation: 1}}})
		close(frozen)
		assert.Equal(t, <-old, OutcomeSuperseded)
		time.Sleep(time.Minute)
		assert.Equal(t, w.executed("old"), !w.state.ChecksFencingTokens)
		assert.Equal(t, w.currentRole(), fleet.RoleDecode)
	})
}

// A newer order was issued elsewhere, so the watched order is no longer the
// newest. The watch must end instead of undoing the newer order.
func TestWatchEndsAtANewerOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(false)
		b := w.issuer("b")
		go func() { _ = b.Watch(t.Context()) }()
		assert.Equal(t, run(t, b, role("first", fleet.RoleDecode)), OutcomeDone)
		assert.Equal(t, run(t, w.issuer("a"), role("second", fleet.RoleBoth)), OutcomeDone)
		time.Sleep(time.Minute)
		assert.Equal(t, w.currentRole(), fleet.RoleBoth)
		assert.DeepEqual(t, w.taken, []string{"first", "second"})
		assert.Equal(t, len(b.watch.active(time.Now())), 0)
	})
}

// Two entries both act as planner after a change of the view, and repeatedly
// order opposite roles with calls of random duration. In the end the endpoint
// must have the role of the newest order in the log.
func TestTwoPlannersRace(t *testing.T) {
	for seed := range uint64(40) {
		forBothEndpoints(t, func(t *testing.T, w *world) {
			random := rand.New(rand.NewPCG(seed, 1))
			var mu sync.Mutex
			w.atEndpoint = func(engineapi.Order) {
				mu.Lock()
				d := time.Duration(random.IntN(4000)) * time.Millisecond
				mu.Unlock()
				time.Sleep(d)
			}
			var planners sync.WaitGroup
			for id, r := range map[fleet.InstanceID]fleet.EndpointRole{"a": fleet.RoleBoth, "b": fleet.RoleDecode} {
				planners.Go(func() {
					i := w.issuer(id)
					for n := range 3 {
						_, err := i.Run(t.Context(), target, role(fmt.Sprintf("%s/%d", id, n), r))
						assert.Check(t, err)
					}
				})
			}
			planners.Wait()
			asked := w.apply(&pb.Command{Body: &pb.Command_IssueOrder{IssueOrder: &pb.IssueOrder{
				OrderId: "a/0", EndpointId: "x", Kind: pb.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: string(fleet.RoleBoth),
				IssuerInstance: "a", IssuerIncarnation: 1,
			}}})
			assert.Equal(t, string(w.currentRole()), asked.NewestOrder.GetOrder().GetRole())
		})
	}
}

// loadCounter counts concurrent loads over a set of endpoints.
type loadCounter struct {
	*world
	mu       sync.Mutex
	loads    int
	maxLoads int
	done     map[fleet.EndpointID]engineapi.ModelRef
}

func (l *loadCounter) State(_ context.Context, t engine.Target) (engineapi.Announcement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := engineapi.Announcement{ID: t.ID, ChecksFencingTokens: true}
	if m, ok := l.done[t.ID]; ok {
		a.Models = []engineapi.ModelRef{m}
	}
	return a, nil
}

func (l *loadCounter) Order(_ context.Context, t engine.Target, o engineapi.Order) (engineapi.OrderReply, error) {
	l.mu.Lock()
	l.loads++
	l.maxLoads = max(l.maxLoads, l.loads)
	l.mu.Unlock()
	time.Sleep(testLoadDuration)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads--
	l.done[t.ID] = o.Model
	return engineapi.OrderReply{Done: true, LastFencingToken: o.FencingToken}, nil
}

// testLoadDuration is slightly less than the time that the log reserves for 16 GB of
// weights at half of 2 GB/s.
const testLoadDuration = 15 * time.Second

// Two planners want eight loads at the same time. If all started together, each
// would get an eighth of the weight store's rate and no engine would serve for
// long. Two at a time must load, and the others wait for their turn.
func TestLoadsShareTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true)
		w.settings(t, "weight_store: {rate: 2GB/s, concurrent_loads: 2}\nmodels:\n  - {name: m, versions: [v], kv_bytes_per_token: 1KB, max_tokens: 100, weight_bytes: 16GB}\n")
		l := &loadCounter{world: w, done: map[fleet.EndpointID]engineapi.ModelRef{}}
		began := time.Now()
		var loads sync.WaitGroup
		for n := range 8 {
			issuer := w.issuerAt([]fleet.InstanceID{"a", "b"}[n%2], l)
			loads.Go(func() {
				spec := Spec{ID: fmt.Sprint("load-", n), Kind: engineapi.OrderLoad, Model: engineapi.ModelRef{Model: "m", Version: "v"}}
				outcome, err := issuer.Run(t.Context(), engine.Target{ID: fleet.EndpointID(fmt.Sprint("e", n))}, spec)
				assert.Check(t, err)
				assert.Check(t, outcome == OutcomeDone)
			})
		}
		loads.Wait()
		assert.Equal(t, l.maxLoads, 2)
		assert.Assert(t, time.Since(began) < 4*16*time.Second+time.Second, "%v", time.Since(began))
	})
}

// A swap is an unload followed by a load from the same issuer. At an endpoint that
// ignores tokens the load must not wait for the unload's lease and maximum
// duration, during which the endpoint would have no model.
func TestOwnOrdersNeedNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(false)
		b := w.issuer("b")
		assert.Equal(t, run(t, b, role("first", fleet.RoleDecode)), OutcomeDone)
		began := time.Now()
		assert.Equal(t, run(t, b, role("second", fleet.RoleBoth)), OutcomeDone)
		assert.Assert(t, time.Since(began) < time.Second)
		assert.Equal(t, run(t, w.issuer("a"), role("other", fleet.RoleDecode)), OutcomeDone)
		assert.Assert(t, time.Since(began) >= maxDurationFloor) // waits for the other issuer's order
	})
}
