package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// Limits of a prefill.
const (
	// minPrefillTimeout and prefillTimeoutFactor limit a prefill, which takes about the
	// estimated time at a working endpoint. The minimum is shorter than reservationTTL, so
	// that the decode endpoint can still prefill the prompt itself (local prefill).
	minPrefillTimeout    = 1200 * time.Millisecond
	prefillTimeoutFactor = 4
)

// prefilledPrompt is the result of a prefill that no endpoint has used yet.
type prefilledPrompt struct {
	endpoint *dispatch.Endpoint
	handle   string
}

// preparePrefill has the prompt prefilled for a decode endpoint, unless a result is left over that
// it can use.
func (ex *activeExchange) preparePrefill(ctx context.Context, decode *dispatch.Endpoint) {
	if ex.unusedPrefill != nil && !fleet.RequireSoftware(decode.Software).Allows(ex.unusedPrefill.endpoint.Software) {
		ex.releaseUnusedPrefill()
	}
	if ex.unusedPrefill == nil && !ex.isQuarantined() {
		ex.unusedPrefill = ex.runPrefill(ctx, decode)
	}
}

// prefillSource returns where the result of the prefill is, nil if there is none. One of an
// endpoint that has restarted is not used: its software version may be another one.
func (ex *activeExchange) prefillSource() *Source {
	if ex.unusedPrefill != nil && ex.hasRestarted(ex.unusedPrefill.endpoint) {
		ex.releaseUnusedPrefill()
	}
	if ex.unusedPrefill == nil {
		return nil
	}
	return &Source{Address: ex.unusedPrefill.endpoint.Address, Handle: ex.unusedPrefill.handle}
}

// runPrefill has a prefill endpoint prefill the prompt for a decode endpoint of the same software
// version, which need not understand the KV cache of another one. It returns nil if none did; the
// decode endpoint then prefills the prompt itself.
func (ex *activeExchange) runPrefill(ctx context.Context, decode *dispatch.Endpoint) *prefilledPrompt {
	if ex.skipsPrefill() {
		return nil
	}
	choice, mode, reservation := ex.permittedPrefillEndpoint(ctx, decode)
	ex.router.metrics.prefillModes.WithLabelValues(mode.String()).Inc()
	if mode != dispatch.PrefillRemote {
		return nil
	}
	ex.prefillAttempted = true
	work := dispatch.Work{PromptTokens: ex.exchange.Prompt.Tokens, MemoryTokens: ex.exchange.Prompt.Tokens}
	stats := ex.router.options.Stats
	stats.Begin(time.Now(), choice.Endpoint, work)
	start := time.Now()
	expected := stats.EstimatePrefillDuration(ex.service, ex.exchange.Prompt.Tokens, choice.EndpointLoad)
	prefillCtx, cancel := context.WithTimeoutCause(ctx, max(minPrefillTimeout, prefillTimeoutFactor*expected), errNoResponse)
	defer cancel()
	result, outcome, arrived := ex.sendPrefill(prefillCtx, choice.Endpoint)
	ex.settlePrefillBudget(reservation, choice.Endpoint, outcome, arrived)
	ex.progress.prefillMs = time.Since(start).Milliseconds()
	ex.reportPrefillDelay(outcome, stats.EstimatePrefillDuration(ex.service, ex.exchange.Prompt.Tokens, 0), time.Since(start))
	ex.router.metrics.prefillTime.Observe(time.Since(start).Seconds())
	if outcome == dispatch.OutcomeServed {
		stats.RecordPrefill(time.Now(), choice.Endpoint, ex.exchange.Prompt.Tokens, time.Since(start))
	}
	stats.End(time.Now(), choice.Endpoint, work, outcome)
	return result
}

// skipsPrefill reports whether no prefill endpoint is asked: there is no prompt, one was
// asked already, or the caller resumes a stream.
//
// Load pattern: entries or endpoints fail under load, and all callers whose streams broke
// return at once with prompts that must be prefilled again. Their answers are late in any
// case, while new requests that queue behind them at the prefill endpoints miss their
// targets.
func (ex *activeExchange) skipsPrefill() bool {
	return ex.exchange.Prompt == nil || ex.prefillAttempted || isResumption(ex.exchange, ex.route) && ex.router.options.Policy.Has(dispatch.LocalPrefillOnResume)
}

// permittedPrefillEndpoint returns prefillEndpoint's choice, within the retry budget and
// the endpoint's limit. Without one of these the decode endpoint prefills the prompt.
func (ex *activeExchange) permittedPrefillEndpoint(ctx context.Context, decode *dispatch.Endpoint) (dispatch.Choice, dispatch.PrefillMode, *retrybudget.Reservation) {
	choice, mode := ex.prefillEndpoint(decode)
	if mode != dispatch.PrefillRemote {
		return choice, mode, nil
	}
	reservation, allowed := ex.reservePrefillBudget(choice.Endpoint)
	if allowed && ex.acquirePermit(ctx, choice.Endpoint) {
		return choice, dispatch.PrefillRemote, reservation
	}
	if reservation != nil {
		reservation.Cancel()
	}
	return choice, dispatch.PrefillLocal, nil
}

// prefillEndpoint returns the prefill endpoint that the home named, or one chosen here.
func (ex *activeExchange) prefillEndpoint(decode *dispatch.Endpoint) (dispatch.Choice, dispatch.PrefillMode) {
	f := ex.filter(dispatch.StagePrefill)
	f.tried, f.software = nil, fleet.RequireSoftware(decode.Software)
	if ex.allocated == nil {
		return ex.choosePrefillEndpoint(f)
	}
	e := ex.findEndpoint(f, ex.allocated.PrefillEndpoint)
	if e == nil {
		return dispatch.Choice{}, dispatch.PrefillLocal
	}
	prefillTime := ex.router.options.Stats.EstimatePrefillDuration(ex.service, ex.exchange.Prompt.Tokens, 0)
	queued := float64(ex.allocated.PrefillBacklog) / float64(max(prefillTime, time.Millisecond))
	return dispatch.Choice{Endpoint: e, EndpointLoad: queued}, dispatch.PrefillRemote
}

// choosePrefillEndpoint chooses the prefill endpoint with the least work queued, and
// returns where the prompt of this exchange is prefilled.
func (ex *activeExchange) choosePrefillEndpoint(f endpointFilter) (dispatch.Choice, dispatch.PrefillMode) {
	stats, tokens := ex.router.options.Stats, ex.exchange.Prompt.Tokens
	choice, ok := ex.chooseEndpoint(f, byPromptTokens(tokens))
	if !ok {
		return choice, dispatch.PrefillLocal
	}
	prefillTime := stats.EstimatePrefillDuration(ex.service, tokens, 0)
	prefillPlacement := dispatch.PrefillPlacement{MaxEventGap: ex.route.MaxEventGap, Policy: ex.router.options.Policy}
	return choice, prefillPlacement.Choose(prefillTime, stats.EstimatePrefillDuration(ex.service, tokens, choice.EndpointLoad))
}

// sendPrefill sends a prefill. arrived reports whether the call counts as an arrival: one
// that was accepted doesn't; one without an answer may have arrived, and does.
func (ex *activeExchange) sendPrefill(ctx context.Context, e *dispatch.Endpoint) (result *prefilledPrompt, outcome dispatch.Outcome, arrived bool) {
	call := ex.newCall(e)
	call.Prefill = true
	call.Priority = ex.priority()
	ex.recordAttempt(e, attemptPrefill)
	sent := time.Now()
	reply, err := ex.router.options.Endpoints.Send(ctx, call)
	if err != nil {
		ex.logDecision("Prefill failed.", "endpoint", e.ID, "err", err)
		arrived = sendOutcome(err) == dispatch.OutcomeLost
		if arrived && ctx.Err() == nil {
			ex.recordLoss(e, sent, false, err)
		}
		ex.watchDarkness(e, sent, false, attemptResult{err: err})
		switch {
		case errors.Is(err, errNoResponse):
			return nil, dispatch.OutcomeUnreachable, arrived
		case ctx.Err() != nil:
			return nil, dispatch.OutcomeCanceled, arrived
		}
		return nil, sendOutcome(err), arrived
	}
	defer reply.Body.Close()
	ex.receiveSignals(e, sent, reply)
	if reply.Load != nil {
		ex.router.options.Stats.RecordLoad(time.Now(), e, *reply.Load)
	}
	switch {
	case reply.WrongIncarnation:
		return nil, dispatch.OutcomeWrongIncarnation, true
	case reply.NotRun:
		return nil, dispatch.OutcomeFull, true
	case reply.Status != http.StatusOK:
		return nil, dispatch.OutcomeFailed, true
	}
	accepted, err := ex.router.options.Endpoints.ReadPrefillResult(e, reply)
	if err != nil {
		ex.logDecision("Prefill's answer was cut off.", "endpoint", e.ID, "err", err)
		return nil, dispatch.OutcomeLost, false
	}
	ex.recordPartsAnswered(e)
	return &prefilledPrompt{endpoint: e, handle: accepted.Handle}, dispatch.OutcomeServed, false
}

func sendOutcome(err error) dispatch.Outcome {
	var failure *SendError
	if errors.As(err, &failure) && !failure.Sent {
		return dispatch.OutcomeUnreachable
	}
	return dispatch.OutcomeLost
}

// canPrefillSoon reports whether the prompt would be prefilled soon after memory is
// reserved.
func (ex *activeExchange) canPrefillSoon() bool {
	if ex.skipsPrefill() {
		return true
	}
	f := ex.filter(dispatch.StagePrefill)
	f.tried = nil
	_, mode := ex.choosePrefillEndpoint(f)
	return mode != dispatch.PrefillDeferred
}

// byPromptTokens measures a prefill endpoint by the prompts queued before this one, in
// units of this one: each delays it by its own prefill time.
func byPromptTokens(tokens int) dispatch.LoadFunc {
	return func(_ *dispatch.Endpoint, _ int, prompt, _ int, others float64) float64 {
		return float64(prompt)/float64(max(1, tokens)) + others
	}
}
