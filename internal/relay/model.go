package relay

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// Constants of model requests.
const (
	// typicalStartTime is the usual time from a reservation to the first event: a prefill
	// of 3,000 tokens takes 100 to 200 ms, its transfer a few.
	typicalStartTime = 250 * time.Millisecond
	// typicalAnswerTime is the time that most answers take, for those without an estimate.
	typicalAnswerTime = 4 * time.Second
	// reservationTTL is how long memory is reserved: a prefill that has to queue takes up
	// to a second.
	reservationTTL = 1800 * time.Millisecond
	// reserveTimeout limits a request for memory, which an endpoint answers at once. One
	// that doesn't is frozen or cut off, and the exchange must not spend its wait on it.
	reserveTimeout = 200 * time.Millisecond
	// maxReserveAttempts limits the endpoints asked for memory in one round. The first one
	// has the most free memory in the local view; reports from other entries are late.
	maxReserveAttempts = 3
)

// placement is the endpoint chosen for one request, with the memory reserved there.
type placement struct {
	endpoint      *dispatch.Endpoint
	reservationID string                  // empty where endpoints don't reserve memory
	allocated     *allocation.Reservation // nil where no home assigned it
}

// prepareModel reserves memory for the whole request where it will run, and only then has
// the prompt prefilled. A prompt that is prefilled and finds no memory wastes prefill
// capacity just when it is short.
func (ex *activeExchange) prepareModel(ctx context.Context) (*dispatch.Endpoint, *Call) {
	at := ex.awaitPlacement(ctx)
	if at == nil {
		return nil, nil
	}
	ex.allocated = at.allocated
	call := ex.newCall(at.endpoint)
	call.ReservationID = at.reservationID
	call.Priority = ex.priority()
	ex.preparePrefill(ctx, at.endpoint)
	if !ex.isRightProcess(ctx, at.endpoint) {
		ex.releasePlacement(at)
		ex.skip(at.endpoint)
		return ex.prepareModel(ctx)
	}
	call.Source = ex.prefillSource()
	if ctx.Err() != nil || !ex.reserveRetry(ctx) {
		ex.releasePlacement(at)
		return nil, nil
	}
	if !ex.acquirePermit(ctx, at.endpoint) {
		ex.releasePlacement(at)
		return ex.prepareModel(ctx)
	}
	call.TimeLeft = time.Until(ex.deadline) - networkMargin
	return at.endpoint, call
}

// awaitPlacement requests memory until it gets some or more waiting is futile. Where a home
// reports that there is no memory, endpoints are not asked as well: that would take freed
// memory from requests that are queued at the home, and from large requests most.
func (ex *activeExchange) awaitPlacement(ctx context.Context) *placement {
	since, waiting := ex.waitState()
	defer ex.router.metrics.observePlacementWait(time.Now())
	for {
		pause, end := waiting.NextPoll(time.Since(since))
		if end != dispatch.WaitGoesOn {
			ex.waitEnd = end
			ex.logDecision("Waits no longer.", "why", end, "waited_ms", time.Since(since).Milliseconds(), "target_ms", waiting.TargetLatency.Milliseconds(),
				"patience_ms", waiting.CallerTimeout.Milliseconds(), "answer_ms", ex.expectedAnswer().Expected.Milliseconds(),
				"rest_ms", waiting.Rest.Milliseconds(), "events_had", ex.eventsAtCaller())
			return nil
		}
		at, asked := ex.allocate(ctx, waiting.Remaining(time.Since(since)))
		if asked {
			pause = allocationRetryInterval
		} else if ex.canPrefillSoon() {
			found := false
			at, found = ex.findPlacement(ctx)
			if !found && !ex.awaitUnblocked(ctx, dispatch.StageDecode) {
				return nil
			}
		}
		if at != nil {
			return at
		}
		if !sleep.For(ctx, pause) {
			return nil
		}
	}
}

// waitState returns how the exchange waits, and from when its wait counts.
//
// Guards against this failure: an endpoint fails in mid-stream, long after the target for
// the first part. An exchange that could resume elsewhere must not be given up because of
// that target; its caller now waits for the next part.
func (ex *activeExchange) waitState() (since time.Time, w dispatch.MemoryWait) {
	since = ex.readyAt
	w = dispatch.MemoryWait{TargetLatency: ex.route.Target, IdleTimeout: maxEventWait(ex.route), StartLatency: typicalStartTime, Rest: ex.expectedRest(), Begun: ex.eventsAtCaller() > 0}
	if ex.attempts > 0 || !ex.router.options.Policy.Has(dispatch.EndWaitAtTarget) {
		w.TargetLatency = 0
	}
	if ex.headSent {
		since = ex.progress.writtenAt
	}
	w.CallerTimeout = ex.deadline.Sub(since)
	return since, w
}

// estimatedOutput returns how many tokens the caller expects; 0 if it doesn't say. Some
// callers expect more than the maximum that they ask for.
func (ex *activeExchange) estimatedOutput() int {
	if ex.exchange.Prompt == nil {
		return 0
	}
	return min(ex.exchange.Prompt.EstimatedOutput, ex.exchange.Prompt.MaxOutput)
}

// maxEventWait returns how long a caller waits for the next event of a stream, including
// the first, before it leaves: the longest of two seconds, four times the target and eight
// times the route's MaxEventGap.
func maxEventWait(r *routetable.Route) time.Duration {
	return max(2*time.Second, 4*r.Target, 8*r.MaxEventGap)
}

// findPlacement asks the endpoints with the most free memory in the local view. found is false
// when there are no endpoints to ask.
func (ex *activeExchange) findPlacement(ctx context.Context) (at *placement, found bool) {
	f := ex.filter(dispatch.StageDecode)
	f.tried = maps.Clone(ex.tried)
	for range maxReserveAttempts {
		choice, ok := ex.chooseEndpoint(f, ex.memoryMeasure())
		if !ok {
			return nil, found
		}
		found = true
		if ex.engine.MaxReservationDuration == 0 || ex.exchange.Prompt == nil || !ex.router.options.Policy.Has(dispatch.ReserveMemoryFirst) {
			at = &placement{endpoint: choice.Endpoint}
		} else if reservationID, err := ex.reserveMemory(ctx, choice.Endpoint); err == nil {
			at = &placement{endpoint: choice.Endpoint, reservationID: reservationID}
		}
		if at = ex.keepIfPermitted(ctx, at); at != nil {
			return at, true
		}
		if ctx.Err() != nil {
			return nil, found
		}
		f.tried[choice.Endpoint.Incarnation()] = true
	}
	return nil, found
}

// reserveMemory reserves memory for the prompt and the likely output.
func (ex *activeExchange) reserveMemory(ctx context.Context, e *dispatch.Endpoint) (string, error) {
	reserveCtx, cancel := context.WithTimeoutCause(ctx, reserveTimeout, errNoResponse)
	defer cancel()
	reserved, err := ex.router.options.Endpoints.Reserve(reserveCtx, e, ex.memoryTokens(), min(reservationTTL, ex.engine.MaxReservationDuration))
	now := time.Now()
	if reserved.Limit.Kind == endpointlimit.KindLimit {
		ex.receiveLimit(e, now, reserved.Limit)
	}
	ex.receiveAvailability(e, reserved.Signals)
	switch {
	case err == nil:
	case errors.Is(err, errNoResponse):
		ex.router.options.Stats.RecordOutcome(now, e, dispatch.OutcomeUnreachable)
		ex.logDecision("Endpoint did not answer a request for memory.", "endpoint", e.ID)
	case errors.Is(err, ErrNoMemory):
		ex.router.options.Stats.RecordFull(now, e)
		ex.router.metrics.noMemory.Inc()
		ex.logDecision("No room.", "endpoint", e.ID, "tokens", ex.memoryTokens())
	case ctx.Err() == nil:
		ex.router.options.Stats.RecordOutcome(now, e, sendOutcome(err))
		ex.logDecision("Could not reserve memory.", "endpoint", e.ID, "err", err)
	}
	return reserved.ID, err
}

// memoryMeasure measures a decode endpoint by its memory, which is what limits it: a
// prompt of thousands of tokens fills a tenth of it.
func (ex *activeExchange) memoryMeasure() dispatch.LoadFunc {
	memory := ex.memoryTokens()
	total := ex.engine.KVTokens
	return func(e *dispatch.Endpoint, own int, prompt, held int, others float64) float64 {
		if total <= 0 {
			return dispatch.SlotLoad(e, own, prompt, held, others)
		}
		used := float64(held) + others*float64(memory)
		return (used + float64(memory)) / float64(total)
	}
}
