package relay

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// When a caller whose request did not run may come again, as parts of its
// patience: it could not be served in time, and a burst lasts some seconds.
// The spread keeps callers that were turned away together from returning
// together. A caller without a known patience gets comeAgain.
const (
	comeAgain       = 400 * time.Millisecond
	comeAgainShare  = 0.18
	comeAgainSpread = 0.15
)

// retryAfter is drawn between the two; point is even in [0, 1).
func retryAfter(patience time.Duration, point float64) time.Duration {
	if patience <= 0 {
		return comeAgain
	}
	return time.Duration((comeAgainShare + comeAgainSpread*point) * float64(patience))
}

// giveUp makes the final answer of an exchange that no endpoint answered whole.
// One that has begun is broken off at the caller too, never ended as if whole.
func (l *life) giveUp(ctx context.Context, reason string) *Refusal {
	if l.begun {
		l.brokenOff(ctx, reason)
		return nil
	}
	if !l.ran {
		after := max(retryAfter(l.x.Patience, l.router.options.Random()), l.blockedFor(), l.suspicion.quarantinedFor)
		return &Refusal{Verdict: VerdictNotRun, Reason: reason, RetryAfter: after}
	}
	if errors.Is(context.Cause(ctx), errTimeUp) {
		return &Refusal{Verdict: VerdictTimeout, Reason: reason}
	}
	return &Refusal{Verdict: VerdictUnknown, Reason: reason}
}

// reasonOfEnd tells why an exchange's context ended.
func reasonOfEnd(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errTimeUp) {
		return "the time is up"
	}
	return "the caller has left"
}

func (l *life) brokenOff(ctx context.Context, reason string) {
	l.writeTrail()
	l.router.options.Part.Info("Broken off.", "request", l.x.ID, "reason", reason, "after", l.lastID,
		"route", l.route.Name, "version", l.version, "service", l.service, "endpoint", l.chosen,
		"took_ms", l.since(time.Now()), "err", l.lastErr, "left_by", context.Cause(ctx))
	l.aborted = true
	l.caller.Abort()
}

// report writes one line on an exchange that was not served whole.
func (l *life) report(ctx context.Context, refusal *Refusal) {
	if refusal == nil {
		l.reportServed()
		return
	}
	l.writeTrail()
	l.router.options.Part.Info("Refused.", "request", l.x.ID, "verdict", refusal.Verdict, "reason", refusal.Reason,
		"route", l.route.Name, "team", teamName(l.team), "version", l.version, "service", l.service, "endpoint", l.chosen, "sends", l.sends,
		"runs", l.runs, "took_ms", l.since(time.Now()), "err", l.lastErr, "left_by", context.Cause(ctx))
}

// rounded is a figure as precise as a reader needs it.
func rounded(x float64) float64 { return math.Round(100*x) / 100 }

func (l *life) reportServed() {
	if l.lateAnswer() || l.last != dispatch.OutcomeServed || l.sends > 1 {
		l.writeTrail()
	}
	tokens, output := 0, 0
	if p := l.x.Prompt; p != nil {
		tokens, output = p.Tokens, p.MaxOutput
	}
	l.router.options.Part.Info("Answered.", "request", l.x.ID, "route", l.route.Name, "team", teamName(l.team), "version", l.version,
		"service", l.service, "endpoint", l.chosen, "outcome", l.last, "sends", l.sends, "runs", l.runs,
		"prompt", tokens, "output", output, "prefill_ms", l.progress.prefillMs,
		"sent_ms", l.since(l.progress.sentAt), "first_ms", l.since(l.progress.firstAt),
		"took_ms", l.since(time.Now()), "writes", l.progress.writes, "pause_ms", l.progress.pause.Milliseconds(), "pause_at_ms", l.pauseStart(), "last_event", l.lastID)
}
