package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// A prompt is prefilled by a prefill endpoint only once memory is reserved for the whole
// request, and the result is sent with it.
func TestMemoryBeforePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), returns(func() *Reply { return ok(event("1")) })).withModel()
		fx.endpoints.reserveErrors = []error{ErrNoMemory, ErrNoMemory, ErrNoMemory, ErrNoMemory}
		_, refusal := fx.serve(t, newModelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(fx.endpoints.calls), 2)
		prefill, run := fx.endpoints.calls[0], fx.endpoints.calls[1]
		assert.Assert(t, prefill.Prefill && prefill.Endpoint.Stage == dispatch.StagePrefill)
		assert.Equal(t, run.ReservationID, "hold1")
		assert.Equal(t, run.Source.Handle, "handle")
	})
}

// There is no memory for seconds: the request is refused before its caller leaves, its
// prompt is not prefilled, and the refusal says when to repeat it.
func TestNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream).withModel()
		for range 10000 {
			fx.endpoints.reserveErrors = append(fx.endpoints.reserveErrors, ErrNoMemory)
		}
		began := time.Now()
		_, refusal := fx.serve(t, newModelExchange())
		assert.Equal(t, refusal.Verdict, VerdictNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, len(fx.endpoints.calls), 0)
		assert.Assert(t, time.Since(began) < 4*fx.route.Target, "the caller has left by then")
	})
}

// The endpoint that should use a prefill result can't be reached: the next one gets it, and
// the prompt is not prefilled again.
func TestPrefillIsKeptForTheNextEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), fails(false), returns(func() *Reply { return ok(event("1")) })).withModel()
		_, refusal := fx.serve(t, newModelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(fx.endpoints.calls), 3)
		assert.Equal(t, fx.endpoints.calls[2].Source.Handle, "handle")
		assert.Equal(t, fx.endpoints.calls[2].ReservationID, "hold2")
	})
}

// The prefill fails: the decode endpoint prefills the prompt, since a second prefill would
// be an extra arrival.
func TestPrefillFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(stream, fails(true), returns(func() *Reply { return ok(event("1")) })).withModel()
		_, refusal := fx.serve(t, newModelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(fx.endpoints.calls), 2)
		assert.Assert(t, fx.endpoints.calls[1].Source == nil)
	})
}

// unresponsiveFirst endpoints don't answer the first call of a kind.
type unresponsiveFirst struct {
	*fakeEndpoints
	reserve, prefill, run bool
}

func (s *unresponsiveFirst) Reserve(ctx context.Context, e *dispatch.Endpoint, tokens int, ttl time.Duration) (Reservation, error) {
	if s.reserve {
		s.reserve = false
		<-ctx.Done()
		return Reservation{}, &SendError{Sent: true, Cause: context.Cause(ctx)}
	}
	return s.fakeEndpoints.Reserve(ctx, e, tokens, ttl)
}

// An endpoint is frozen or cut off without a reset: it accepts a call and never answers.
// The request must not wait there until its caller has left.
func TestUnresponsiveEndpointIsLeft(t *testing.T) {
	served := returns(func() *Reply { return ok(event("1")) })
	for name, test := range map[string]struct {
		silent unresponsiveFirst
		within time.Duration
	}{
		"asked for memory": {unresponsiveFirst{reserve: true}, 250 * time.Millisecond},
		"reads a prompt":   {unresponsiveFirst{prefill: true}, 1500 * time.Millisecond},
		"idempotent call":  {unresponsiveFirst{run: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(idempotent, served)
				x := newExchange()
				if !test.silent.run {
					fx, x = newFixture(stream, served).withModel(), newModelExchange()
				}
				if test.silent.reserve {
					fx.endpoints.answers = []answer{returns(func() *Reply { return ok("{}") }), served}
				}
				test.silent.fakeEndpoints = fx.endpoints
				fx.router.options.Endpoints = &test.silent
				began := time.Now()
				c, refusal := fx.serve(t, x)
				assert.Assert(t, refusal == nil)
				assert.Equal(t, c.text.String(), event("1"))
				assert.Assert(t, time.Since(began) < test.within, "%v", time.Since(began))
			})
		})
	}
}

// A caller was refused once and returns with five seconds left. An answer of nine seconds
// would be cut off in the middle: it is refused at once, without a prefill or memory
// reserved. One of two seconds is served.
func TestAnswerThatCannotEndInTimeIsNotBegun(t *testing.T) {
	for _, test := range []struct {
		estimate int
		served   bool
	}{{3000, false}, {600, true}} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), returns(func() *Reply { return ok(event("1")) })).withModel()
			x := newModelExchange()
			x.CallerTimeout = 5 * time.Second
			x.Prompt.MaxOutput, x.Prompt.EstimatedOutput = 3000, test.estimate
			began := time.Now()
			_, refusal := fx.serve(t, x)
			assert.Equal(t, refusal == nil, test.served)
			assert.Equal(t, time.Since(began), time.Duration(0))
			if !test.served {
				assert.Equal(t, refusal.Verdict, VerdictNotRun)
				assert.Equal(t, len(fx.endpoints.calls)+fx.endpoints.reserved, 0)
			}
		})
	}
}
