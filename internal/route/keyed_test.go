package route_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

func keyedRequest() route.ModelRequest {
	request := modelRequest()
	request.Key = "bale-7"
	return request
}

// A scholar's client times out in the middle of a gloss and sends it again to
// the same entry. Run twice, it would take two of twenty decode slots. The
// repeat joins the running answer from its start; both get all of it.
func TestRepeatJoins(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		one, two := &sink{}, &sink{}
		ends := make(chan route.Answer, 2)
		go func() { ends <- r.Model(t.Context(), keyedRequest(), one) }()
		time.Sleep(5 * time.Millisecond)
		go func() { ends <- r.Model(t.Context(), keyedRequest(), two) }()
		for range 2 {
			a := <-ends
			assert.Assert(t, a.Failure == nil, "%v", a.Failure)
		}
		assert.Equal(t, one.got(), tokens(10))
		assert.Equal(t, two.got(), tokens(10))
		assert.Equal(t, w.sent("decode"), 1)
		w.assertFree(t)
	})
}

// The first caller hangs up, the second one stays: the run belongs to whoever
// still listens, and ends when nobody does.
func TestRunLivesWithItsLastCaller(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		ctx, cancel := context.WithCancel(t.Context())
		ends := make(chan route.Answer, 2)
		go func() { ends <- r.Model(ctx, keyedRequest(), &sink{}) }()
		time.Sleep(3 * time.Millisecond)
		s := &sink{}
		go func() { ends <- r.Model(t.Context(), keyedRequest(), s) }()
		time.Sleep(2 * time.Millisecond)
		cancel()
		gone, whole := <-ends, <-ends
		assert.Assert(t, gone.Failure != nil)
		assert.Assert(t, whole.Failure == nil, "%v", whole.Failure)
		assert.Equal(t, s.got(), tokens(10))
		w.assertFree(t)
	})
}

// A repeat reaches another entry: while the first runs it is told so at once;
// once that ended it runs again, as its answer is kept nowhere.
func TestRepeatElsewhere(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		one, two := w.router(route.Bounds{}), w.router(route.Bounds{})
		end := make(chan route.Answer, 1)
		go func() { end <- one.Model(t.Context(), keyedRequest(), &sink{}) }()
		time.Sleep(5 * time.Millisecond)
		failure := failed(t, two, keyedRequest())
		assert.Equal(t, failure.Code, callerapi.CodeInFlight)
		assert.Assert(t, failure.RetryAfter > 0)
		other := keyedRequest()
		other.Prompt = "Another bale."
		assert.Equal(t, two.Model(t.Context(), other, &sink{}).Failure.Code, callerapi.CodeKeyReused)
		assert.Equal(t, one.Model(t.Context(), other, &sink{}).Failure.Code, callerapi.CodeKeyReused)
		assert.Assert(t, (<-end).Failure == nil)
		time.Sleep(time.Millisecond)
		served(t, two, keyedRequest(), &sink{})
	})
}

// An entry freezes with a request in its hands. The caller sends it elsewhere
// and is told that it was not run. The first entry wakes and must not run the
// copy that it still holds.
func TestFrozenCopyDoesNotRun(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		frozen, other := w.router(route.Bounds{}), w.router(route.Bounds{})
		copied := keyedRequest()
		time.Sleep(4 * time.Second)
		w.denied = &admission.Decision{Code: callerapi.CodeOverloaded}
		failure := failed(t, other, keyedRequest())
		assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
		w.denied = nil
		failure = failed(t, frozen, copied)
		assert.Equal(t, failure.Code, callerapi.CodeInFlight)
		assert.Equal(t, len(w.sends), 0)
		time.Sleep(time.Second)
		served(t, other, keyedRequest(), &sink{})
	})
}

// The last caller hangs up and sends the request again while the first run is
// being cancelled: the repeat waits for its end, then runs.
func TestRepeatAfterCancel(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		ctx, cancel := context.WithCancel(t.Context())
		_ = r.Model(ctx, keyedRequest(), &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 3 {
				cancel()
			}
		}})
		synctest.Wait()
		time.Sleep(time.Millisecond)
		served(t, r, keyedRequest(), &sink{})
		w.assertFree(t)
	})
}

// A caller reads slowly while the answer outgrows what is kept for repeats:
// memory stays bounded, the slow caller still gets all.
func TestJoinBufferBounded(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{JoinBytes: 16})
		s := &sink{after: func(engineapi.Chunk) { time.Sleep(20 * time.Millisecond) }}
		request := keyedRequest()
		request.MaxTokens = 100
		served(t, r, request, s)
		w.assertFree(t)
	})
}

// The last caller hangs up; the cancel to the decode engine is lost and gets
// through 300 ms later. The caller sends the request again to another entry.
// Run at once, it would occupy two slots of the same engine: it is told "in
// flight" until the first run is seen gone.
func TestRepeatWaitsForTheCancel(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cancelLag = 300 * time.Millisecond
		one, two := w.router(route.Bounds{}), w.router(route.Bounds{})
		ctx, cancel := context.WithCancel(t.Context())
		_ = one.Model(ctx, keyedRequest(), &sink{after: func(engineapi.Chunk) { cancel() }})
		time.Sleep(200 * time.Millisecond)
		failure := failed(t, two, keyedRequest())
		assert.Equal(t, failure.Code, callerapi.CodeInFlight)
		assert.Equal(t, w.sent("decode"), 1)
		time.Sleep(200 * time.Millisecond)
		served(t, two, keyedRequest(), &sink{})
		w.assertFree(t)
	})
}
