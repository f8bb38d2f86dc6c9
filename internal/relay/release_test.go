package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against memory that stays in use at engines: a prompt was prefilled and memory is
// reserved, and then the caller leaves, or no endpoint takes the request. Both would stay
// until they expire, half a second and nearly two, and others would be refused meanwhile.
func TestMemoryOfAnExchangeThatEndsUnservedIsFreed(t *testing.T) {
	prefilled := returns(func() *Reply { return ok("{}") })
	for name, test := range map[string]struct {
		leaves  bool // the caller, during the prefill
		decode  []answer
		dropped int
	}{
		"caller leaves":       {leaves: true, dropped: 1},
		"none reachable":      {decode: []answer{fails(false), fails(false)}},
		"full after all":      {decode: []answer{returns(notRun), returns(notRun)}},
		"run was lost":        {decode: []answer{fails(true)}},
		"other incarnations":  {decode: []answer{returns(misfit), returns(misfit)}},
		"failed by an engine": {decode: []answer{returns(failure)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(stream, append([]answer{prefilled}, test.decode...)...).withModel()
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if test.leaves {
					fx.endpoints.answers[0] = func(*Call) (*Reply, error) { leave(); return ok("{}"), nil }
				}
				c := &fakeCaller{}
				refusal := fx.router.Serve(ctx, newModelExchange(), c)
				assert.Equal(t, refusal == nil, name == "failed by an engine")
				synctest.Wait()
				assert.DeepEqual(t, fx.endpoints.releasedPrefills, []string{"e0 handle"})
				assert.Equal(t, len(fx.endpoints.releasedReservations), test.dropped)
			})
		})
	}
}

// A prefill result that was used by the endpoint that served is not released.
func TestUsedPrefillIsNotReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), returns(func() *Reply { return ok(event("1")) })).withModel()
		c, refusal := fx.serve(t, newModelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.status, http.StatusOK)
		synctest.Wait()
		assert.Equal(t, len(fx.endpoints.releasedPrefills)+len(fx.endpoints.releasedReservations), 0)
	})
}

// An endpoint is slow to release memory. The caller's final answer doesn't wait for it.
func TestFinalAnswerDoesNotWaitForMemoryToBeFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream, nil).withModel()
		ctx, leave := context.WithCancel(t.Context())
		fx.endpoints.answers[0] = func(*Call) (*Reply, error) { leave(); return ok("{}"), nil }
		fx.endpoints.releaseDelay = time.Second
		began := time.Now()
		refusal := fx.router.Serve(ctx, newModelExchange(), &fakeCaller{})
		assert.Assert(t, refusal != nil)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(fx.endpoints.releasedPrefills), 1)
	})
}
