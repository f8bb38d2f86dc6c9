package relay

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

func TestShutdownPlan(t *testing.T) {
	for _, test := range []struct{ within, limit, linger time.Duration }{
		{12 * time.Second, 11500 * time.Millisecond, 3 * time.Second},
		{2500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond},
		{100 * time.Millisecond, 0, 0},
	} {
		l := ShutdownPlan{Timeout: test.within}
		assert.Equal(t, l.MaxDuration(), test.limit)
		assert.Equal(t, l.AcceptDuration(), test.linger)
	}
}

// shuttingDown returns a fixture whose entry began to shut down some time ago, within 8 s.
func shuttingDown(ago time.Duration, answers ...answer) *fixture {
	fx := newFixture(idempotent, answers...)
	fx.router.options.Shutdown = NewShutdown(ShutdownPlan{Timeout: 8 * time.Second})
	_, cancel := fx.router.options.Shutdown.Begin()
	cancel()
	time.Sleep(ago)
	return fx
}

// Guards against a request that a stopping entry takes and cuts when it ends, since its answer may
// last longer than the entry.
func TestStoppingEntryTakesNothingThatMayOutlastIt(t *testing.T) {
	for name, test := range map[string]struct {
		since, timeout time.Duration
		served         bool
	}{
		"long, in time":       {2700 * time.Millisecond, 10 * time.Second, true},
		"long, late":          {2800 * time.Millisecond, 10 * time.Second, false},
		"short, late":         {3 * time.Second, 4 * time.Second, true},
		"short, and too late": {6500 * time.Millisecond, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := shuttingDown(test.since, returns(func() *Reply { return ok("a") }))
				x := newExchange()
				x.CallerTimeout = test.timeout
				_, refusal := fx.serve(t, x)
				assert.Equal(t, refusal == nil, test.served)
				if refusal != nil {
					assert.Equal(t, refusal.Verdict, VerdictNotRun)
					assert.Equal(t, refusal.RetryAfter, shutdownRetryAfter)
					assert.Equal(t, len(fx.endpoints.calls), 0)
				}
			})
		})
	}
}

// Guards against a request that waits at a stopping entry, or at an endpoint, until the entry ends,
// and then gets no answer at all.
func TestStoppingEntryAnswersWhatStillWaits(t *testing.T) {
	for name, test := range map[string]struct {
		sent    bool
		verdict Verdict
	}{
		"for an endpoint": {false, VerdictNotRun},
		"at an endpoint":  {true, VerdictUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := shuttingDown(time.Second)
				fx.router.options.Endpoints = &hangingUnsent{hanging{fakeEndpoints: fx.endpoints}, test.sent}
				began := time.Now()
				x := newExchange()
				x.CallerTimeout = 10 * time.Second
				_, refusal := fx.serve(t, x)
				assert.Equal(t, refusal.Verdict, test.verdict)
				assert.Equal(t, time.Since(began), 6250*time.Millisecond) // 7.25 s after the stop began
			})
		})
	}
}

// hangingUnsent endpoints never answer; a call may not have been sent to them.
type hangingUnsent struct {
	hanging
	sent bool
}

func (h *hangingUnsent) Send(ctx context.Context, c *Call) (*Reply, error) {
	_, err := h.hanging.Send(ctx, c)
	return nil, &SendError{Sent: h.sent, Cause: err}
}

// Guards against an answer under way that a stopping entry ends before its own end.
func TestStoppingEntryLetsAnswersGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := shuttingDown(time.Second)
		fx.router.options.Endpoints = &pausing{fakeEndpoints: fx.endpoints, pause: 6400 * time.Millisecond}
		fx.route.Kind = routetable.KindStream
		x := newExchange()
		x.CallerTimeout = 10 * time.Second
		caller, refusal := fx.serve(t, x)
		assert.Assert(t, refusal == nil && !caller.aborted)
		assert.Equal(t, caller.text.String(), "id: 1\n\nid: 2\n\n")
	})
}

// pausing endpoints answer with two events, and pause between them.
type pausing struct {
	*fakeEndpoints
	pause time.Duration
}

func (p *pausing) Send(ctx context.Context, _ *Call) (*Reply, error) {
	r := ok()
	r.Body = &pausingBody{ctx: ctx, pause: p.pause}
	return r, nil
}

type pausingBody struct {
	ctx   context.Context
	pause time.Duration
	reads int
}

func (b *pausingBody) Read(p []byte) (int, error) {
	b.reads++
	switch b.reads {
	case 1:
		return copy(p, "id: 1\n\n"), nil
	case 2:
		select {
		case <-time.After(b.pause):
			return copy(p, "id: 2\n\n"), nil
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	return 0, io.EOF
}

func (b *pausingBody) Close() {}
