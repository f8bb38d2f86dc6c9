package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

const (
	atMostOnce = routetable.KindAtMostOnce
	idempotent = routetable.KindIdempotent
	stream     = routetable.KindStream
)

func failure() *Reply { return reply(http.StatusInternalServerError, io.EOF, "broken") }

func cutOff() *Reply { return reply(http.StatusOK, errCut, "ha") }

func misfit() *Reply {
	r := notRun()
	r.WrongIncarnation = true
	return r
}

// Retries by the route's kind: a request that may run only once is never sent again after it
// may have run, and one that has not run is not lost because one server was full.
func TestRetries(t *testing.T) {
	served := returns(func() *Reply { return ok("good") })
	for _, test := range []struct {
		name    string
		kind    routetable.Kind
		first   answer
		sends   int
		status  int // passed on; 0 for a refusal
		verdict Verdict
	}{
		{"served", atMostOnce, served, 1, 200, 0},
		{"full, once", atMostOnce, returns(notRun), 2, 200, 0},
		{"another incarnation, once", atMostOnce, returns(misfit), 2, 200, 0},
		{"unreachable, once", atMostOnce, fails(false), 2, 200, 0},
		{"lost, once", atMostOnce, fails(true), 1, 0, VerdictUnknown},
		{"failed, once", atMostOnce, returns(failure), 1, 500, 0},
		{"cut off, once", atMostOnce, returns(cutOff), 1, 0, VerdictUnknown},
		{"lost, idempotent", idempotent, fails(true), 2, 200, 0},
		{"failed, idempotent", idempotent, returns(failure), 2, 200, 0},
		{"cut off, idempotent", idempotent, returns(cutOff), 2, 200, 0},
		{"full, stream", stream, returns(notRun), 2, 200, 0},
		{"lost, stream", stream, fails(true), 1, 0, VerdictUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			fx := newFixture(test.kind, test.first, served)
			c, refusal := fx.serve(t, newExchange())
			assert.Equal(t, len(fx.endpoints.calls), test.sends)
			assert.Equal(t, c.status, test.status)
			assert.Equal(t, refusal != nil, test.status == 0)
			if refusal != nil {
				assert.Equal(t, refusal.Verdict, test.verdict)
			}
			if test.sends == 2 {
				assert.Assert(t, fx.endpoints.calls[0].Endpoint.ID != fx.endpoints.calls[1].Endpoint.ID)
			}
		})
	}
}

// The last attempt's failure is the endpoint's own and is forwarded unchanged.
func TestLastFailureIsPassedOn(t *testing.T) {
	fx := newFixture(idempotent, returns(failure), returns(failure), returns(func() *Reply { return ok() }))
	c, refusal := fx.serve(t, newExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.status, 500)
	assert.Equal(t, c.text.String(), "broken")
	assert.Equal(t, len(fx.endpoints.calls), 2)
}

// Every server is full: the caller is told that nothing ran and when to repeat the request,
// and the fleet's retry budget is kept.
func TestRefusalHasRetryAfter(t *testing.T) {
	fx := newFixture(atMostOnce, returns(notRun), returns(notRun), returns(notRun), returns(notRun))
	_, refusal := fx.serve(t, newExchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	for fx.budget.Reserve(time.Now(), "s") != nil {
	}
	fx.endpoints.calls, fx.endpoints.answers = nil, []answer{returns(notRun), returns(notRun)}
	_, refusal = fx.serve(t, newExchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun)
	assert.Equal(t, len(fx.endpoints.calls), 1)
}

func TestNotServed(t *testing.T) {
	fx := newFixture(idempotent)
	elsewhere := newExchange()
	elsewhere.Path = "/q/"
	_, refusal := fx.serve(t, elsewhere)
	assert.Equal(t, refusal.Verdict, VerdictNoRoute)
	large := newExchange()
	large.Body = make([]byte, 101)
	_, refusal = fx.serve(t, large)
	assert.Equal(t, refusal.Verdict, VerdictTooLarge)
	fx.view.Endpoints = nil
	_, refusal = fx.serve(t, newExchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun)
	fx.view = &View{}
	_, refusal = fx.serve(t, newExchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun, "an entry that knows no configuration must not say that there is no route")
}

func event(id string) string { return "id: " + id + "\ndata: d" + id + "\n\n" }

// The caller leaves: nothing more is sent, and the endpoint is told to stop.
func TestCallerLeaves(t *testing.T) {
	fx := newFixture(stream, returns(func() *Reply { return reply(200, errCut, event("1"), event("2")) }))
	fx.route.Resumable = true
	ctx, cancel := context.WithCancel(t.Context())
	c := &fakeCaller{leave: cancel}
	fx.router.Serve(ctx, newExchange(), c)
	assert.Equal(t, len(fx.endpoints.calls), 1)
}

// A long answer is forwarded as it arrives; if it is cut off, it is aborted, not ended.
func TestLongAnswer(t *testing.T) {
	part := strings.Repeat("x", maxBufferedBytes)
	for _, end := range []error{io.EOF, errCut} {
		fx := newFixture(atMostOnce, returns(func() *Reply { return reply(200, end, part, part, "end") }))
		c, refusal := fx.serve(t, newExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.aborted, end == errCut)
		assert.Assert(t, c.text.Len() > maxBufferedBytes)
		assert.Assert(t, end != io.EOF || c.text.Len() == 2*maxBufferedBytes+len("end"))
	}
}

func TestTimeLeftOfEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(*Call) (*Reply, error) {
			time.Sleep(2 * time.Second)
			return nil, &SendError{Sent: true, Cause: errCut}
		}
		fx := newFixture(idempotent, slow, returns(func() *Reply { return ok() }))
		_, refusal := fx.serve(t, newExchange())
		assert.Assert(t, refusal == nil)
		first, second := fx.endpoints.calls[0].TimeLeft, fx.endpoints.calls[1].TimeLeft
		assert.Assert(t, first < 5*time.Second && first > 4900*time.Millisecond, "%v", first)
		assert.Equal(t, first-second, 2*time.Second)
	})
}

// The final answer comes at the route's timeout, not when the endpoint ends.
func TestFinalAnswerAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(idempotent)
		fx.route.Timeout = time.Second
		fx.router.options.Endpoints = &hanging{fakeEndpoints: fx.endpoints}
		began := time.Now()
		_, refusal := fx.serve(t, newExchange())
		assert.Equal(t, refusal.Verdict, VerdictTimeout)
		assert.Assert(t, time.Since(began) <= time.Second)
	})
}

// hanging endpoints accept a call and never answer.
type hanging struct{ *fakeEndpoints }

func (h *hanging) Send(ctx context.Context, c *Call) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{Sent: true, Cause: context.Cause(ctx)}
}

// A refused caller returns when a burst is over, not at once, and callers refused together
// don't return together.
func TestRetryAfter(t *testing.T) {
	assert.Equal(t, retryAfter(0, 0.5), defaultRetryAfter)
	first, last := retryAfter(14*time.Second, 0), retryAfter(14*time.Second, 0.999)
	assert.Equal(t, first, 2520*time.Millisecond)
	assert.Assert(t, last > 4500*time.Millisecond && last < 14*time.Second/3, "callers follow a RetryAfter up to a third of their patience")
}

func (s *unresponsiveFirst) Send(ctx context.Context, c *Call) (*Reply, error) {
	if c.Prefill && s.prefill || !c.Prefill && s.run {
		s.prefill, s.run = s.prefill && !c.Prefill, s.run && c.Prefill
		<-ctx.Done()
		return nil, &SendError{Sent: true, Cause: context.Cause(ctx)}
	}
	return s.fakeEndpoints.Send(ctx, c)
}
