package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// A prompt is read elsewhere only once memory is set aside for the whole run,
// and its result goes with the request.
func TestMemoryBeforePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, gives(func() *Reply { return ok("{}") }), gives(func() *Reply { return ok(event("1")) })).model()
		w.endpoints.rooms = []error{ErrNoRoom, ErrNoRoom, ErrNoRoom, ErrNoRoom}
		_, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(w.endpoints.calls), 2)
		prefill, run := w.endpoints.calls[0], w.endpoints.calls[1]
		assert.Assert(t, prefill.Prefill && prefill.Endpoint.Stage == dispatch.StagePrefill)
		assert.Equal(t, run.Hold, "hold1")
		assert.Equal(t, run.Source.Handle, "handle")
	})
}

// There is no memory for seconds: the request is refused before its caller
// leaves, nothing was read for it, and it is told when to come again.
func TestNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream).model()
		for range 10000 {
			w.endpoints.rooms = append(w.endpoints.rooms, ErrNoRoom)
		}
		began := time.Now()
		_, refusal := w.serve(t, modelExchange())
		assert.Equal(t, refusal.Verdict, VerdictNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, len(w.endpoints.calls), 0)
		assert.Assert(t, time.Since(began) < 4*w.route.Target, "the caller has left by then")
	})
}

// The endpoint that should take a prefill's result can't be reached: the next
// one gets it, and the prompt is not read again.
func TestPrefillIsKeptForTheNextEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, gives(func() *Reply { return ok("{}") }), fails(false), gives(func() *Reply { return ok(event("1")) })).model()
		_, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(w.endpoints.calls), 3)
		assert.Equal(t, w.endpoints.calls[2].Source.Handle, "handle")
		assert.Equal(t, w.endpoints.calls[2].Hold, "hold2")
	})
}

// The prefill fails: the prompt is read where the answer is generated, since a
// second prefill would be an extra arrival.
func TestPrefillFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, fails(true), gives(func() *Reply { return ok(event("1")) })).model()
		_, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(w.endpoints.calls), 2)
		assert.Assert(t, w.endpoints.calls[1].Source == nil)
	})
}

// silentFirst endpoints don't answer the first call of a kind.
type silentFirst struct {
	*fakes
	reserve, prefill, run bool
}

func (s *silentFirst) Reserve(ctx context.Context, e *dispatch.Endpoint, tokens int, life time.Duration) (Reserved, error) {
	if s.reserve {
		s.reserve = false
		<-ctx.Done()
		return Reserved{}, &SendError{Sent: true, Cause: context.Cause(ctx)}
	}
	return s.fakes.Reserve(ctx, e, tokens, life)
}

// An endpoint is frozen or cut off without a reset: it takes a call and says
// nothing. The request must not wait there until its caller has left.
func TestSilentEndpointIsLeft(t *testing.T) {
	served := gives(func() *Reply { return ok(event("1")) })
	for name, test := range map[string]struct {
		silent silentFirst
		within time.Duration
	}{
		"asked for memory": {silentFirst{reserve: true}, 250 * time.Millisecond},
		"reads a prompt":   {silentFirst{prefill: true}, 1500 * time.Millisecond},
		"idempotent call":  {silentFirst{run: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(idempotent, served)
				x := exchange()
				if !test.silent.run {
					w, x = newWorld(stream, served).model(), modelExchange()
				}
				if test.silent.reserve {
					w.endpoints.answers = []answer{gives(func() *Reply { return ok("{}") }), served}
				}
				test.silent.fakes = w.endpoints
				w.router.options.Endpoints = &test.silent
				began := time.Now()
				c, refusal := w.serve(t, x)
				assert.Assert(t, refusal == nil)
				assert.Equal(t, c.text.String(), event("1"))
				assert.Assert(t, time.Since(began) < test.within, "%v", time.Since(began))
			})
		})
	}
}

// A caller was turned away once and comes back with five seconds left. An answer
// of nine seconds would be cut off in the middle of it: it is told so at once,
// without a prompt read or room taken. One of two seconds is served.
func TestAnswerThatCannotEndInTimeIsNotBegun(t *testing.T) {
	for _, test := range []struct {
		estimate int
		served   bool
	}{{3000, false}, {600, true}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(stream, gives(func() *Reply { return ok("{}") }), gives(func() *Reply { return ok(event("1")) })).model()
			x := modelExchange()
			x.Patience = 5 * time.Second
			x.Prompt.MaxOutput, x.Prompt.LikelyOut = 3000, test.estimate
			began := time.Now()
			_, refusal := w.serve(t, x)
			assert.Equal(t, refusal == nil, test.served)
			assert.Equal(t, time.Since(began), time.Duration(0))
			if !test.served {
				assert.Equal(t, refusal.Verdict, VerdictNotRun)
				assert.Equal(t, len(w.endpoints.calls)+w.endpoints.reserved, 0)
			}
		})
	}
}
