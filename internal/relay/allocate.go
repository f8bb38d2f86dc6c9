package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// Allocator requests reservations from the homes of services, which make them for the whole
// fleet. An error means that no home could be reached.
type Allocator interface {
	// Allot requests a reservation, and waits for at most wait if there is no capacity. The
	// result has no Endpoint if there was none in that time.
	Allot(ctx context.Context, service string, request allocation.ReservationRequest, wait time.Duration) (allocation.Reservation, error)
	// Settle releases a reservation and reports how its use ended.
	Settle(ctx context.Context, r allocation.Reservation, o allocation.Outcome) error
	// Read reports that the prefill endpoint of a reservation failed or was late. prefillTime
	// is the expected duration of the prefill without its wait.
	Read(ctx context.Context, r allocation.Reservation, o allocation.Outcome, prefillTime, took time.Duration) error
}

// maxAllocationWait limits one request for a reservation; an exchange that waits longer sends
// another one. Only this limit reveals an unreachable home, which costs this much of a target.
const maxAllocationWait = 100 * time.Millisecond

// allocationRetryInterval is the pause before the home is asked again: an endpoint that
// it named has refused, or its queue is full.
const allocationRetryInterval = 5 * time.Millisecond

// allocate requests a reservation from the service's home, and memory from the endpoint that
// it names. asked is false when no home could be asked.
//
// Load pattern: hundreds of entries share a hundred endpoints, so that each entry uses an
// endpoint once in minutes, and a burst fills nearly all of them. Entries that ask
// endpoints by themselves pick full ones, since they know nothing about their load.
func (ex *activeExchange) allocate(ctx context.Context, left time.Duration) (at *placement, asked bool) {
	options := ex.router.options
	candidates := ex.router.candidates(ex.filter(dispatch.StageDecode))
	if options.Allocator == nil || !options.Policy.Has(dispatch.HomeReservation) || ex.exchange.Prompt == nil || ex.engine.MaxReservationDuration == 0 || len(candidates) == 0 {
		return nil, false
	}
	assigned, err := options.Allocator.Allot(ctx, ex.service, ex.allocationRequest(), min(maxAllocationWait, max(left, 0)))
	if err != nil {
		ex.logDecision("No home could be asked for a place.", "err", err)
		return nil, false
	}
	if assigned.Endpoint == "" {
		ex.logDecision("No place came free.", "home", assigned.Home, "tokens", ex.memoryTokens(), "among", assigned.FreeCapacity.Candidates, "most_free", assigned.FreeCapacity.MaxFreeTokens)
		return nil, true
	}
	ex.logDecision("Allotted.", "home", assigned.Home, "endpoint", assigned.Endpoint, "reader", assigned.PrefillEndpoint, "backlog_ms", assigned.PrefillBacklog.Milliseconds())
	return ex.reserveAllocated(ctx, assigned), true
}

// reserveAllocated reserves memory at the endpoint that the home has named.
func (ex *activeExchange) reserveAllocated(ctx context.Context, assigned allocation.Reservation) *placement {
	f := ex.filter(dispatch.StageDecode)
	f.tried = nil
	e := ex.findEndpoint(f, assigned.Endpoint)
	if e == nil {
		// It has just registered, and this entry doesn't know it yet. It is not faulty.
		ex.unknownEndpoints = append(ex.unknownEndpoints, assigned.Endpoint)
		ex.settleAllocation(assigned, allocation.OutcomeDone)
		return nil
	}
	asked := time.Now()
	reservationID, err := ex.reserveMemory(ctx, e)
	if err != nil {
		ex.settleAllocation(assigned, ex.witnessed(reserveOutcome(ctx, err), asked))
		return nil
	}
	at := ex.keepIfPermitted(ctx, &placement{endpoint: e, reservationID: reservationID, allocated: &assigned})
	if at == nil {
		ex.settleAllocation(assigned, allocation.OutcomeDone)
	}
	return at
}

func (ex *activeExchange) findEndpoint(f endpointFilter, id string) *dispatch.Endpoint {
	for _, e := range ex.router.candidates(f) {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// allocationRequest describes what the exchange needs.
func (ex *activeExchange) allocationRequest() allocation.ReservationRequest {
	stats, tokens := ex.router.options.Stats, ex.exchange.Prompt.Tokens
	request := allocation.ReservationRequest{
		Exchange: ex.exchange.ID, Model: ex.model(), Zone: stats.Zone(), PromptTokens: tokens, OutputTokens: ex.exchange.Prompt.ReservedOutput(),
		CapacityTokens: ex.engine.KVTokens, AnswerDuration: ex.expectedRest(),
		Patience: time.Until(ex.deadline),
	}
	request.Stream, request.Resumes = ex.allocatedStream()
	if software := ex.placementSoftware(); software.IsSet() {
		version := software.Version()
		request.Software = &version
	}
	if !ex.skipsPrefill() {
		request.PrefillDuration = stats.EstimatePrefillDuration(ex.service, tokens, 0)
		prefillPlacement := dispatch.PrefillPlacement{MaxEventGap: ex.route.MaxEventGap, Policy: ex.router.options.Policy}
		request.MaxBacklog, request.AllowLocalPrefill = prefillPlacement.Bounds(request.PrefillDuration)
	}
	request.Excluded = append(request.Excluded, ex.unknownEndpoints...)
	for id := range ex.tried {
		request.Excluded = append(request.Excluded, id.ID)
	}
	request.Excluded = append(request.Excluded, stats.UnavailableIDs(time.Now(), ex.router.options.View().Endpoints[ex.service])...)
	return request
}

// settleAllocation releases a reservation at its home in the background.
func (ex *activeExchange) settleAllocation(assigned allocation.Reservation, o allocation.Outcome) {
	ex.releaseAsync(func(ctx context.Context) {
		if err := ex.router.options.Allocator.Settle(ctx, assigned, o); err != nil {
			ex.router.options.Part.Debug("Could not release a reservation at its home.", "request", assigned.Exchange, "home", assigned.Home, "err", err)
		}
	})
}

// settleActiveAllocation releases the reservation in use if a home made it.
func (ex *activeExchange) settleActiveAllocation(o dispatch.Outcome) {
	if ex.allocated == nil {
		return
	}
	assigned := *ex.allocated
	ex.allocated = nil
	ex.settleAllocation(assigned, ex.witnessed(allocationOutcome(o), ex.progress.sentAt))
}

// prefillDelayTolerance is how much later than promised a prefill may end without a report
// to the home: transfer and network take some milliseconds, and each report is an RPC.
const prefillDelayTolerance = 60 * time.Millisecond

// reportPrefillDelay reports a prefill endpoint that failed or was late to the home.
func (ex *activeExchange) reportPrefillDelay(o dispatch.Outcome, prefillTime, took time.Duration) {
	if ex.allocated == nil || allocationOutcome(o) == allocation.OutcomeDone && took < ex.allocated.PrefillBacklog+prefillTime+prefillDelayTolerance {
		return
	}
	assigned, reported := *ex.allocated, ex.witnessed(allocationOutcome(o), time.Now().Add(-took))
	ex.releaseAsync(func(ctx context.Context) {
		if err := ex.router.options.Allocator.Read(ctx, assigned, reported, prefillTime, took); err != nil {
			ex.router.options.Part.Debug("Could not report a prefill delay.", "request", assigned.Exchange, "home", assigned.Home, "err", err)
		}
	})
}

// witnessed returns what this entry tells others of an endpoint that it used since a time. An
// entry that has heard no endpoint since may be cut off itself, and tells nothing of one that it
// did not reach.
func (ex *activeExchange) witnessed(o allocation.Outcome, since time.Time) allocation.Outcome {
	if o == allocation.OutcomeUnreachable && !ex.router.options.Endpoints.HeardSince(since) {
		return allocation.OutcomeDone
	}
	return o
}

// allocationOutcome maps the outcome of a call to what other entries need to know about
// its endpoint. A lost answer says nothing about it: healthy endpoints lose some, and a
// small fleet can't do without them.
func allocationOutcome(o dispatch.Outcome) allocation.Outcome {
	switch o {
	case dispatch.OutcomeFull:
		return allocation.OutcomeFull
	case dispatch.OutcomeUnreachable, dispatch.OutcomeWrongIncarnation:
		return allocation.OutcomeUnreachable
	}
	return allocation.OutcomeDone
}

// reserveOutcome maps the reason why no memory was reserved.
func reserveOutcome(ctx context.Context, err error) allocation.Outcome {
	switch {
	case errors.Is(err, ErrNoMemory):
		return allocation.OutcomeFull
	case ctx.Err() != nil:
		return allocation.OutcomeDone
	case errors.Is(err, errNoResponse):
		return allocation.OutcomeUnreachable
	}
	return allocationOutcome(sendOutcome(err))
}
