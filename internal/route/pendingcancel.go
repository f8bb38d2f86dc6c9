package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// pendingCancel is an attempt whose cancel an endpoint may not have carried out yet.
type pendingCancel struct {
	target  engine.Target
	attempt fleet.AttemptID
}

const (
	// maxCancelWait limits the wait until endpoints have carried out the cancels of a
	// keyed request.
	maxCancelWait      = 2 * time.Second
	cancelPollInterval = 20 * time.Millisecond
)

// addPendingCancel records a grant that is about to be cancelled. Requests without a
// key don't need this, since no repeat can run in their place.
func (m *activeModelRequest) addPendingCancel(h *heldGrant) {
	if m.req.Key == "" || h == nil || h.released || !h.maybeSent || h.finished {
		return
	}
	m.pendingCancels = append(m.pendingCancels, pendingCancel{target: h.target, attempt: h.grant.Attempt})
}

// awaitCancels waits until the endpoints no longer hold the request's attempts.
//
// Cancels are asynchronous. An engine may still decode while a repeat of the same
// key runs elsewhere, and the request would occupy two slots. The ledger record
// therefore stays "in flight" until the endpoints confirm the end, or until
// maxCancelWait has passed: an endpoint that is unreachable for so long has died or
// was swept.
func (m *activeModelRequest) awaitCancels() {
	ctx, cancel := context.WithTimeout(context.Background(), maxCancelWait)
	defer cancel()
	for _, l := range m.pendingCancels {
		for m.router.stillHeld(ctx, l) {
			if pause(ctx, cancelPollInterval) != nil {
				return
			}
		}
	}
}

// stillHeld asks the endpoint whether it holds the attempt. If the endpoint has been
// restarted, its new process doesn't.
func (r *Router) stillHeld(ctx context.Context, l pendingCancel) bool {
	reply, err := r.opts.Engine.Held(ctx, l.target)
	if err != nil {
		return !isOtherProcess(err)
	}
	if reply.Incarnation != l.target.Incarnation {
		return false
	}
	for _, h := range reply.Held {
		if h.Attempt == l.attempt {
			return true
		}
	}
	return false
}
