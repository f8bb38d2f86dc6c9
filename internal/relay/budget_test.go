package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// Guards against arrivals that no budget counts: a reader turns the prompt away, and
// the request then goes to another endpoint as if nobody had seen it.
func TestTurnedAwayReadingIsAnArrival(t *testing.T) {
	w := newWorld(routetable.KindStream, gives(notRun), gives(func() *Reply { return ok("data: 1\n\n") })).model()
	w.router.options.Budget = retrybudget.New(time.Now(), retrybudget.Limits{Window: 10 * time.Second})
	_, _ = w.serve(t, modelExchange())
	assert.Assert(t, len(w.endpoints.calls) <= 1, "%d arrivals, and the budget allows none beyond the first", len(w.endpoints.calls))
}

// Guards against reservations that are never given back: the budget would shrink with
// each prompt that is read elsewhere.
func TestAcceptedReadingIsFree(t *testing.T) {
	w := newWorld(routetable.KindStream, gives(func() *Reply { return ok("{}") }), gives(func() *Reply { return ok("data: 1\n\n") })).model()
	before := w.budget.Left(time.Now(), "s")
	_, refusal := w.serve(t, modelExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(w.endpoints.calls), 2)
	left := w.budget.Left(time.Now(), "s")
	assert.Assert(t, left >= before, "%v of %v is left", left, before)
}

// Guards against a request that is refused for want of budget after its reading was turned
// away: what follows is reserved before, or after it.
func TestTurnedAwayReadingLeavesOneSend(t *testing.T) {
	w := newWorld(routetable.KindStream, gives(notRun), gives(func() *Reply { return ok("data: 1\n\n") })).model()
	w.budgetOf(1)
	_, refusal := w.serve(t, modelExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(w.endpoints.calls), 2)
	assert.Assert(t, w.budget.Left(time.Now(), "s") < 1)
}

// Guards against sends that no endpoint has seen and that use up the budget.
func TestUnreachedSendGivesItsReservationBack(t *testing.T) {
	w := newWorld(idempotent, fails(true), fails(false), gives(func() *Reply { return ok("whole") }))
	w.budgetOf(1)
	c, refusal := w.serve(t, exchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.text.String(), "whole")
	assert.Equal(t, len(w.endpoints.calls), 3)
}

// budgetOf leaves so many arrivals beyond the first in the budget.
func (w *world) budgetOf(n int) {
	for w.budget.Left(time.Now(), "s") >= float64(n+1) {
		w.budget.Reserve(time.Now(), "s")
	}
}

// Load pattern: readers turn prompts away while the budget is spent. A reader that did so
// lately isn't asked, and the endpoint that generates the answer reads the
// prompt; nobody is refused for the reader's sake.
func TestRefusingReaderIsNotAskedWithoutBudget(t *testing.T) {
	w := newWorld(routetable.KindStream, gives(func() *Reply { return ok("data: 1\n\n") })).model()
	w.budgetOf(0)
	for _, e := range w.view.Endpoints["s"] {
		if e.Stage == dispatch.StagePrefill {
			w.router.options.Book.Note(time.Now(), e, dispatch.OutcomeFull)
		}
	}
	_, refusal := w.serve(t, modelExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, len(w.endpoints.calls), 1)
	assert.Assert(t, !w.endpoints.calls[0].Prefill)
}
