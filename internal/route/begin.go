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

// leastWait keeps a guard that answers "wait" with no time from being asked
// in a tight loop.
const leastWait = 10 * time.Millisecond

// guardInput names an attempt to the fingerprint's guard.
type guardInput struct {
	fingerprint fleet.Fingerprint
	permitted   fleet.ZoneSet
	attempt     fleet.AttemptID
	remaining   func() time.Duration // patience left
}

// guardTurn asks the fingerprint's guard, and waits while another run of the
// same fingerprint is unproven, as long as patience allows.
func guardTurn(ctx context.Context, g quarantine.Guard, in guardInput) (alone bool, s *setback) {
	for {
		verdict, after := g.Begin(ctx, in.fingerprint, in.permitted, in.attempt)
		switch verdict {
		case pb.RunVerdict_RUN_VERDICT_QUARANTINED:
			return false, final(notRun(callerapi.CodeQuarantined, "this request crashed each endpoint that ran it", 0))
		case pb.RunVerdict_RUN_VERDICT_ALONE:
			return true, nil
		case pb.RunVerdict_RUN_VERDICT_WAIT:
			after = max(after, leastWait)
		default:
			return false, nil
		}
		if after >= in.remaining() {
			return false, final(refused(callerapi.CodeOverloaded, "others of its kind are being tried alone", after))
		}
		if s := pause(ctx, after); s != nil {
			return false, s
		}
	}
}

// begin gets the attempt its turn.
func (a *attempt) begin(ctx context.Context) *setback {
	alone, s := guardTurn(ctx, a.run.router.opts.Guard, guardInput{
		fingerprint: a.run.fingerprint,
		permitted:   a.run.class.permitted,
		attempt:     a.id,
		remaining:   a.run.remaining,
	})
	a.alone = alone
	return s
}

// pause waits for d; a setback tells that ctx ended first.
func pause(ctx context.Context, d time.Duration) *setback {
	if d > 0 && !sleep.For(ctx, d) {
		return &setback{cause: fromContext(ctx)}
	}
	return nil
}
