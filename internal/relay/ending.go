package relay

import (
	"context"
	"errors"
	"time"
)

// comeAgain is when a caller whose request did not run may come again, and
// comeAgainSpread by how much that is drawn out, so that callers turned away
// together don't return together.
const (
	comeAgain       = 400 * time.Millisecond
	comeAgainSpread = 600 * time.Millisecond
)

// giveUp makes the final answer of an exchange that no endpoint answered whole.
// One that has begun is broken off at the caller too, never ended as if whole.
func (l *life) giveUp(ctx context.Context, reason string) *Refusal {
	if l.begun {
		l.brokenOff(ctx, reason)
		return nil
	}
	if !l.ran {
		after := comeAgain + time.Duration(l.router.options.Random()*float64(comeAgainSpread))
		return &Refusal{Verdict: VerdictNotRun, Reason: reason, RetryAfter: after}
	}
	if errors.Is(context.Cause(ctx), errTimeUp) {
		return &Refusal{Verdict: VerdictTimeout, Reason: reason}
	}
	return &Refusal{Verdict: VerdictUnknown, Reason: reason}
}

func (l *life) brokenOff(ctx context.Context, reason string) {
	l.router.options.Part.Info("Broken off.", "request", l.x.ID, "reason", reason, "after", l.lastID,
		"route", l.route.Name, "version", l.version, "service", l.service, "endpoint", l.chosen,
		"took_ms", time.Since(l.x.Received).Milliseconds(), "left_by", context.Cause(ctx))
	l.aborted = true
	l.caller.Abort()
}

// report writes one line on an exchange that was not served whole.
func (l *life) report(ctx context.Context, refusal *Refusal) {
	if refusal == nil {
		l.reportServed()
		return
	}
	l.router.options.Part.Info("Refused.", "request", l.x.ID, "verdict", refusal.Verdict, "reason", refusal.Reason,
		"route", l.route.Name, "version", l.version, "service", l.service, "endpoint", l.chosen, "sends", l.sends,
		"runs", l.runs, "took_ms", time.Since(l.x.Received).Milliseconds(), "left_by", context.Cause(ctx))
}

func (l *life) log(sentence string, keyvals ...any) {
	l.router.options.Part.Debug(sentence, append([]any{
		"request", l.x.ID, "route", l.route.Name, "version", l.version, "service", l.service, "sends", l.sends,
	}, keyvals...)...)
}

func (l *life) reportServed() {
	tokens, output := 0, 0
	if p := l.x.Prompt; p != nil {
		tokens, output = p.Tokens, p.MaxOutput
	}
	l.router.options.Part.Info("Answered.", "request", l.x.ID, "route", l.route.Name, "version", l.version,
		"service", l.service, "endpoint", l.chosen, "outcome", l.last, "sends", l.sends, "runs", l.runs,
		"prompt", tokens, "output", output, "prefill_ms", l.prefillMs,
		"sent_ms", l.sentAt.Sub(l.x.Received).Milliseconds(), "first_ms", l.firstAt.Sub(l.x.Received).Milliseconds(),
		"took_ms", time.Since(l.x.Received).Milliseconds(), "writes", l.writes, "last_event", l.lastID)
}
