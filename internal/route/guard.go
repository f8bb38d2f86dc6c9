package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/quarantine"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// minGuardWait is the minimum pause before the guard is asked again. It prevents a
// tight loop when the guard answers "wait" without a time.
const minGuardWait = 10 * time.Millisecond

// guardInput identifies an attempt to the quarantine guard.
type guardInput struct {
	fingerprint fleet.Fingerprint
	permitted   fleet.ZoneSet
	attempt     fleet.AttemptID
	remaining   func() time.Duration // patience left
}

// awaitGuard asks the quarantine guard whether the attempt may run. While the guard
// answers "wait", because another run of the same fingerprint is unproven, it waits as
// long as the remaining patience allows.
func awaitGuard(ctx context.Context, g quarantine.Guard, in guardInput) (alone bool, failed *attemptFailure) {
	for {
		verdict, after := g.Begin(ctx, in.fingerprint, in.permitted, in.attempt)
		switch verdict {
		case pb.RunVerdict_RUN_VERDICT_QUARANTINED:
			return false, finalAttemptFailure(notRun(callerapi.CodeQuarantined, "this request crashed each endpoint that ran it", 0))
		case pb.RunVerdict_RUN_VERDICT_ALONE:
			return true, nil
		case pb.RunVerdict_RUN_VERDICT_WAIT:
			after = max(after, minGuardWait)
		default:
			return false, nil
		}
		if after >= in.remaining() {
			return false, finalAttemptFailure(refused(callerapi.CodeOverloaded, "others of its kind are being tried alone", after))
		}
		if failed := pause(ctx, after); failed != nil {
			return false, failed
		}
	}
}

// awaitTurn waits until the quarantine guard lets the attempt run.
func (a *attempt) awaitTurn(ctx context.Context) *attemptFailure {
	alone, failed := awaitGuard(ctx, a.request.router.opts.Guard, guardInput{
		fingerprint: a.request.fingerprint,
		permitted:   a.request.params.permitted,
		attempt:     a.id,
		remaining:   a.request.remaining,
	})
	a.alone = a.alone || alone
	return failed
}

// pause waits for d. It returns a failure if ctx ends first.
func pause(ctx context.Context, d time.Duration) *attemptFailure {
	if d > 0 && !sleep.For(ctx, d) {
		return &attemptFailure{cause: causeFromContext(ctx)}
	}
	return nil
}
