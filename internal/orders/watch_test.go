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

// obeyed tells whether the endpoint took an order. What it is now doesn't tell:
// the watch may have mended it at the same instant.
func (w *world) obeyed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.taken, id)
}

func (w *world) currentRole() fleet.EndpointRole {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.Role
}

// Issuer a's order is on its way when a is frozen for so long that the fleet
// gives it up. Issuer b gives a newer order, waits, reads it back: done. Then
// a's order arrives at an endpoint that ignores tokens and is obeyed. a gets no
// token any more and can't mend it; b, which still watches, must.
func TestOrderOfADeadIssuerArrivesAfterTheNewerOne(t *testing.T) {
	both(t, func(t *testing.T, w *world) {
		frozen := make(chan struct{})
		old := w.older(t, func() { <-frozen })
		synctest.Wait()
		b := w.issuer("b")
		go func() { _ = b.Watch(t.Context()) }()
		assert.Equal(t, run(t, b, role("new", fleet.RoleDecode)), OutcomeDone)
		w.apply(&pb.Command{Body: &pb.Command_ExpireInstance{ExpireInstance: &pb.ExpireInstance{Id: "a", Incarnation: 1}}})
		close(frozen)
		assert.Equal(t, <-old, OutcomeSuperseded)
		time.Sleep(time.Minute)
		assert.Equal(t, w.obeyed("old"), !w.state.ChecksTokens)
		assert.Equal(t, w.currentRole(), fleet.RoleDecode)
	})
}

// What is watched is no longer the newest: a newer order was given elsewhere.
// The watch must end instead of undoing it.
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
		assert.Equal(t, len(b.watch.due(time.Now())), 0)
	})
}

// Two entries both take themselves for the planner after a change of the view
// and order opposite roles, over and over, with calls of any length. In the end
// the endpoint must have what the newest order of the log says.
func TestTwoPlannersRace(t *testing.T) {
	for seed := range uint64(40) {
		both(t, func(t *testing.T, w *world) {
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

// loading counts loads at once over a set of endpoints.
type loading struct {
	*world
	mu   sync.Mutex
	now  int
	most int
	done map[fleet.EndpointID]engineapi.ModelRef
}

func (l *loading) State(_ context.Context, t engine.Target) (engineapi.Announcement, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := engineapi.Announcement{ID: t.ID, ChecksTokens: true}
	if m, ok := l.done[t.ID]; ok {
		a.Models = []engineapi.ModelRef{m}
	}
	return a, nil
}

func (l *loading) Order(_ context.Context, t engine.Target, o engineapi.Order) (engineapi.OrderReply, error) {
	l.mu.Lock()
	l.now++
	l.most = max(l.most, l.now)
	l.mu.Unlock()
	time.Sleep(loadOfTest)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now--
	l.done[t.ID] = o.Model
	return engineapi.OrderReply{Done: true, LastToken: o.Token}, nil
}

// loadOfTest is a little under what the log reserves for 16 GB of weights at a
// half of 2 GB/s.
const loadOfTest = 15 * time.Second

// Two planners want eight loads at the same moment. Started together, all would
// crawl at an eighth of the weight store's rate and none would serve for long;
// two at a time must load, and the rest wait for their turn.
func TestLoadsShareTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(true)
		w.settings(t, "weight_store: {rate: 2GB/s, concurrent_loads: 2}\nmodels:\n  - {name: m, versions: [v], kv_bytes_per_token: 1KB, max_tokens: 100, weight_bytes: 16GB}\n")
		l := &loading{world: w, done: map[fleet.EndpointID]engineapi.ModelRef{}}
		began := time.Now()
		var loads sync.WaitGroup
		for n := range 8 {
			issuer := w.issuerAt([]fleet.InstanceID{"a", "b"}[n%2], l)
			loads.Go(func() {
				want := Want{ID: fmt.Sprint("load-", n), Kind: engineapi.OrderLoad, Model: engineapi.ModelRef{Model: "m", Version: "v"}}
				outcome, err := issuer.Run(t.Context(), engine.Target{ID: fleet.EndpointID(fmt.Sprint("e", n))}, want)
				assert.Check(t, err)
				assert.Check(t, outcome == OutcomeDone)
			})
		}
		loads.Wait()
		assert.Equal(t, l.most, 2)
		assert.Assert(t, time.Since(began) < 4*16*time.Second+time.Second, "%v", time.Since(began))
	})
}

// A swap is an unload and a load right after it, by one issuer. At an endpoint
// that ignores tokens the load must not wait out the unload's lease and the
// longest load, for which the endpoint would stand there without a model.
func TestOwnOrdersFollowAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(false)
		b := w.issuer("b")
		assert.Equal(t, run(t, b, role("first", fleet.RoleDecode)), OutcomeDone)
		began := time.Now()
		assert.Equal(t, run(t, b, role("second", fleet.RoleBoth)), OutcomeDone)
		assert.Assert(t, time.Since(began) < time.Second)
		assert.Equal(t, run(t, w.issuer("a"), role("other", fleet.RoleDecode)), OutcomeDone)
		assert.Assert(t, time.Since(began) >= shortestLongest) // another's is waited out
	})
}
