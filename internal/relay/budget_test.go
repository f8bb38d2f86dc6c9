package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// Guards against arrivals that no budget counts: a prefill endpoint rejects the prompt, and
// the request then goes to another endpoint as if none had received it.
func TestRejectedPrefillIsAnArrival(t *testing.T) {
	fx := newFixture(routetable.KindStream, returns(notRun), returns(func() *Reply { return ok("data: 1\n\n") })).withModel()
	fx.router.options.Budget = retrybudget.New(time.Now(), retrybudget.Limits{Window: 10 * time.Second})
	_, _ = fx.serve(t, newModelExchange())
	assert.Assert(t, len(fx.endpoints.calls) <= 1, "%d arrivals, and the budget allows none beyond the first", len(fx.endpoints.calls))
}

// Guards against reservations that are never returned: the budget would shrink with each
// prompt that a prefill endpoint accepts.
func TestAcceptedPrefillIsFree(t *testing.T) {
	fx := newFixture(routetable.KindStream, returns(func() *Reply { return ok("{}") }), returns(func() *Reply { return ok("data: 1\n\n") })).withModel()
	before := fx.budget.Remaining(time.Now(), "s")
	_, refusal := fx.serve(t, newModelExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(fx.endpoints.calls), 2)
	left := fx.budget.Remaining(time.Now(), "s")
	assert.Assert(t, left >= before, "%v of %v is left", left, before)
}

// Guards against refusing a request for lack of budget after its prefill was rejected: the
// attempt that follows is reserved before the prefill, or after it.
func TestRejectedPrefillLeavesOneAttempt(t *testing.T) {
	fx := newFixture(routetable.KindStream, returns(notRun), returns(func() *Reply { return ok("data: 1\n\n") })).withModel()
	fx.leaveBudget(1)
	_, refusal := fx.serve(t, newModelExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(fx.endpoints.calls), 2)
	assert.Assert(t, fx.budget.Remaining(time.Now(), "s") < 1)
}

// Guards against attempts that reach no endpoint and still use up the budget.
func TestUnreachedAttemptReturnsItsReservation(t *testing.T) {
	fx := newFixture(idempotent, fails(true), fails(false), returns(func() *Reply { return ok("whole") }))
	fx.leaveBudget(1)
	c, refusal := fx.serve(t, newExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.text.String(), "whole")
	assert.Equal(t, len(fx.endpoints.calls), 3)
}

// leaveBudget leaves n arrivals beyond the first in the budget.
func (fx *fixture) leaveBudget(n int) {
	for fx.budget.Remaining(time.Now(), "s") >= float64(n+1) {
		fx.budget.Reserve(time.Now(), "s")
	}
}

// Load pattern: prefill endpoints reject prompts while the budget is spent. One that did so
// lately isn't asked, and the decode endpoint prefills the prompt; no request is refused
// because of the prefill endpoint.
func TestRejectingPrefillEndpointIsNotAskedWithoutBudget(t *testing.T) {
	fx := newFixture(routetable.KindStream, returns(func() *Reply { return ok("data: 1\n\n") })).withModel()
	fx.leaveBudget(0)
	for _, e := range fx.view.Endpoints["s"] {
		if e.Stage == dispatch.StagePrefill {
			fx.router.options.Stats.RecordOutcome(time.Now(), e, dispatch.OutcomeFull)
		}
	}
	_, refusal := fx.serve(t, newModelExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(fx.endpoints.calls), 1)
	assert.Assert(t, !fx.endpoints.calls[0].Prefill)
}
