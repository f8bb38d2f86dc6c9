package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// RetryAfter of a request that did not run, as shares of the CallerTimeout: the
// request could not be served in time, and a burst lasts some seconds. The spread keeps
// callers that were refused together from returning together. A caller whose timeout is
// unknown gets defaultRetryAfter.
const (
	defaultRetryAfter = 400 * time.Millisecond
	retryAfterShare   = 0.18
	retryAfterSpread  = 0.15
)

// retryAfter returns a time in that range; point is uniform in [0, 1).
func retryAfter(patience time.Duration, point float64) time.Duration {
	if patience <= 0 {
		return defaultRetryAfter
	}
	return time.Duration((retryAfterShare + retryAfterSpread*point) * float64(patience))
}

// giveUp ends an exchange that no endpoint answered completely. It returns a refusal, or
// aborts an answer that has begun, which must not end as if it were complete.
func (ex *activeExchange) giveUp(ctx context.Context, reason string) *Refusal {
	if ex.headSent {
		ex.abort(ctx, reason)
		return nil
	}
	if !ex.mayHaveRun {
		if errors.Is(context.Cause(ctx), errShutdown) {
			return &Refusal{Verdict: VerdictNotRun, Reason: reason, RetryAfter: shutdownRetryAfter}
		}
		after := max(retryAfter(ex.exchange.CallerTimeout, ex.router.options.Random()), ex.blockedFor(), ex.crashes.quarantinedFor, ex.parts.refusal.Wait)
		return &Refusal{Verdict: VerdictNotRun, Reason: reason, RetryAfter: after}
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		return &Refusal{Verdict: VerdictTimeout, Reason: reason}
	}
	return &Refusal{Verdict: VerdictUnknown, Reason: reason}
}

// endReason returns why an exchange's context ended.
func endReason(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return "the time is up"
	case errors.Is(cause, errShutdown):
		return errShutdown.Error()
	}
	return "the caller has left"
}

func (ex *activeExchange) abort(ctx context.Context, reason string) {
	ex.writeDecisions()
	ex.router.options.Part.Info("Broken off.", "request", ex.exchange.ID, "reason", reason, "after", ex.lastEventID,
		"route", ex.route.Name, "version", ex.version, "service", ex.service, "endpoint", ex.lastEndpoint,
		"software", ex.software.Version(), "resumes", ex.exchange.Resumes, "resumed_after", ex.exchange.LastEventID,
		"prompt_parts", ex.promptParts(), "took_ms", ex.msSinceArrival(time.Now()), "err", ex.lastErr, "left_by", context.Cause(ctx),
		"close_delimited", ex.progress.closeDelimited, "ended_by", ex.progress.endedBy, "partial_event", ex.progress.partialEventBytes)
	ex.aborted = true
	ex.caller.Abort()
}

// logResult writes one line about the result of an exchange.
func (ex *activeExchange) logResult(ctx context.Context, refusal *Refusal) {
	if refusal == nil {
		ex.logServed()
		return
	}
	ex.writeDecisions()
	ex.router.options.Part.Info("Refused.", "request", ex.exchange.ID, "verdict", refusal.Verdict, "reason", refusal.Reason, "cause", ex.refusalCause,
		"route", ex.route.Name, "team", teamName(ex.team), "version", ex.version, "service", ex.service, "endpoint", ex.lastEndpoint, "sends", ex.attempts,
		"runs", ex.runs, "resumes", ex.exchange.Resumes, "resumed_after", ex.exchange.LastEventID,
		"prompt_parts", ex.promptParts(), "crashing_part", ex.parts.refusal.Part,
		"took_ms", ex.msSinceArrival(time.Now()), "err", ex.lastErr, "left_by", context.Cause(ctx))
}

// rounded rounds a number to two decimals for the log.
func rounded(x float64) float64 { return math.Round(100*x) / 100 }

func (ex *activeExchange) logServed() {
	if ex.isLate() || ex.lastOutcome != dispatch.OutcomeServed || ex.attempts > 1 {
		ex.writeDecisions()
	}
	tokens, output := 0, 0
	if p := ex.exchange.Prompt; p != nil {
		tokens, output = p.Tokens, p.MaxOutput
	}
	ex.router.options.Part.Info("Answered.", "request", ex.exchange.ID, "route", ex.route.Name, "team", teamName(ex.team), "version", ex.version,
		"service", ex.service, "endpoint", ex.lastEndpoint, "software", ex.software.Version(),
		"resumes", ex.exchange.Resumes, "resumed_after", ex.exchange.LastEventID, "outcome", ex.lastOutcome, "sends", ex.attempts, "runs", ex.runs,
		"prompt", tokens, "output", output, "prompt_parts", ex.promptParts(), "prefill_ms", ex.progress.prefillMs,
		"sent_ms", ex.msSinceArrival(ex.progress.sentAt), "first_ms", ex.msSinceArrival(ex.progress.firstAt),
		"took_ms", ex.msSinceArrival(time.Now()), "writes", ex.progress.writes, "pause_ms", ex.progress.pause.Milliseconds(), "pause_at_ms", ex.pauseStartMs(), "last_event", ex.lastEventID,
		"close_delimited", ex.progress.closeDelimited, "ended_by", ex.progress.endedBy, "partial_event", ex.progress.partialEventBytes)
}
