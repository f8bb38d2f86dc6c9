package relay

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestMemoryOfAnExchangeThatEndsUnservedIsFreed plays what leaves memory
// behind at engines: a prompt has been read and room is set aside, and then
// the caller leaves, or nobody takes the work. Both would stay until they
// lapse, half a second and nearly two, and others would be refused meanwhile.
func TestMemoryOfAnExchangeThatEndsUnservedIsFreed(t *testing.T) {
	read := gives(func() *Reply { return ok("{}") })
	for name, test := range map[string]struct {
		leaves  bool // the caller, while the prompt is read
		decode  []answer
		dropped int
	}{
		"caller leaves":       {leaves: true, dropped: 1},
		"nobody reachable":    {decode: []answer{fails(false), fails(false)}},
		"full after all":      {decode: []answer{gives(notRun), gives(notRun)}},
		"run was lost":        {decode: []answer{fails(true)}},
		"other incarnations":  {decode: []answer{gives(misfit), gives(misfit)}},
		"failed by an engine": {decode: []answer{gives(failure)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(stream, append([]answer{read}, test.decode...)...).model()
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if test.leaves {
					w.endpoints.answers[0] = func(*Call) (*Reply, error) { leave(); return ok("{}"), nil }
				}
				c := &caller{}
				refusal := w.router.Serve(ctx, modelExchange(), c)
				assert.Equal(t, refusal == nil, name == "failed by an engine")
				synctest.Wait()
				assert.DeepEqual(t, w.endpoints.released, []string{"e0 handle"})
				assert.Equal(t, len(w.endpoints.dropped), test.dropped)
			})
		})
	}
}

// What was taken by the endpoint that served is not freed again.
func TestTakenMemoryIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, gives(func() *Reply { return ok("{}") }), gives(func() *Reply { return ok(event("1")) })).model()
		c, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.status, http.StatusOK)
		synctest.Wait()
		assert.Equal(t, len(w.endpoints.released)+len(w.endpoints.dropped), 0)
	})
}

// An endpoint is slow to free memory. The caller's final answer doesn't wait
// for it.
func TestFinalAnswerDoesNotWaitForMemoryToBeFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, nil).model()
		ctx, leave := context.WithCancel(t.Context())
		w.endpoints.answers[0] = func(*Call) (*Reply, error) { leave(); return ok("{}"), nil }
		w.endpoints.slowFree = time.Second
		began := time.Now()
		refusal := w.router.Serve(ctx, modelExchange(), &caller{})
		assert.Assert(t, refusal != nil)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(w.endpoints.released), 1)
	})
}
