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

// A client times out in the middle of an answer and sends the request again to the same
// entry. The repeat must join the running request from its start and both get the whole
// answer; otherwise the request takes two decode slots.
func TestRepeatJoins(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		one, two := &sink{}, &sink{}
		ends := make(chan route.ModelResult, 2)
		go func() { ends <- r.Complete(t.Context(), keyedRequest(), one) }()
		time.Sleep(5 * time.Millisecond)
		go func() { ends <- r.Complete(t.Context(), keyedRequest(), two) }()
		for range 2 {
			a := <-ends
			assert.Assert(t, a.Failure == nil, "%v", a.Failure)
		}
		assert.Equal(t, one.got(), tokens(10))
		assert.Equal(t, two.got(), tokens(10))
		assert.Equal(t, w.sent("decode"), 1)
		w.assertNothingHeld(t)
	})
}

// The first caller disconnects, the second one stays. The request must continue until its
// last caller disconnects.
func TestRunLivesWithItsLastCaller(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		ctx, cancel := context.WithCancel(t.Context())
		ends := make(chan route.ModelResult, 2)
		go func() { ends <- r.Complete(ctx, keyedRequest(), &sink{}) }()
		time.Sleep(3 * time.Millisecond)
		s := &sink{}
		go func() { ends <- r.Complete(t.Context(), keyedRequest(), s) }()
		time.Sleep(2 * time.Millisecond)
		cancel()
		left, stayed := <-ends, <-ends
		assert.Assert(t, left.Failure != nil)
		assert.Assert(t, stayed.Failure == nil, "%v", stayed.Failure)
		assert.Equal(t, s.got(), tokens(10))
		w.assertNothingHeld(t)
	})
}

// A repeat reaches another entry. While the first request runs, the repeat must be refused
// at once; after that it must run again, as the answer isn't stored.
func TestRepeatElsewhere(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		one, two := w.router(route.Bounds{}), w.router(route.Bounds{})
		end := make(chan route.ModelResult, 1)
		go func() { end <- one.Complete(t.Context(), keyedRequest(), &sink{}) }()
		time.Sleep(5 * time.Millisecond)
		failure := failed(t, two, keyedRequest())
		assert.Equal(t, failure.Code, callerapi.CodeInFlight)
		assert.Assert(t, failure.RetryAfter > 0)
		other := keyedRequest()
		other.Prompt = "Another bale."
		assert.Equal(t, two.Complete(t.Context(), other, &sink{}).Failure.Code, callerapi.CodeKeyReused)
		assert.Equal(t, one.Complete(t.Context(), other, &sink{}).Failure.Code, callerapi.CodeKeyReused)
		assert.Assert(t, (<-end).Failure == nil)
		time.Sleep(time.Millisecond)
		served(t, two, keyedRequest(), &sink{})
	})
}

// An entry freezes while it holds a request. The caller sends it elsewhere and is told
// that it was not run. When the first entry continues, it must not run its copy.
func TestFrozenCopyDoesNotRun(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
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

// The last caller disconnects and sends the request again while the first run is being
// cancelled. The repeat must wait for its end, then run.
func TestRepeatAfterCancel(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		ctx, cancel := context.WithCancel(t.Context())
		_ = r.Complete(ctx, keyedRequest(), &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 3 {
				cancel()
			}
		}})
		synctest.Wait()
		time.Sleep(time.Millisecond)
		served(t, r, keyedRequest(), &sink{})
		w.assertNothingHeld(t)
	})
}

// A caller reads slowly while the answer outgrows the replay buffer. The buffer must stay
// bounded, and the slow caller must still get the whole answer.
func TestJoinBufferBounded(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{MaxReplayBytes: 16})
		s := &sink{after: func(engineapi.Chunk) { time.Sleep(20 * time.Millisecond) }}
		request := keyedRequest()
		request.MaxTokens = 100
		served(t, r, request, s)
		w.assertNothingHeld(t)
	})
}

// The last caller disconnects; the cancel at the decode engine takes effect 300 ms later.
// The caller sends the request again to another entry, which must answer "in flight" until
// the first run has ended; otherwise the request takes two slots of the same engine.
func TestRepeatWaitsForTheCancel(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.cancelLag = 300 * time.Millisecond
		one, two := w.router(route.Bounds{}), w.router(route.Bounds{})
		ctx, cancel := context.WithCancel(t.Context())
		_ = one.Complete(ctx, keyedRequest(), &sink{after: func(engineapi.Chunk) { cancel() }})
		time.Sleep(200 * time.Millisecond)
		failure := failed(t, two, keyedRequest())
		assert.Equal(t, failure.Code, callerapi.CodeInFlight)
		assert.Equal(t, w.sent("decode"), 1)
		time.Sleep(200 * time.Millisecond)
		served(t, two, keyedRequest(), &sink{})
		w.assertNothingHeld(t)
	})
}
