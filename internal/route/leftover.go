package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// leftover is memory that a cancel is to free.
type leftover struct {
	target  engine.Target
	attempt fleet.AttemptID
}

const (
	// goneBound is the longest wait for cancels of a keyed run to show.
	goneBound = 2 * time.Second
	gonePause = 20 * time.Millisecond
)

// noteLeftover remembers a hold that is about to be cancelled. Runs without a
// key don't need it: nothing else may run in their place.
func (m *modelRun) noteLeftover(h *hold) {
	if m.req.Key == "" || h == nil || h.released || !h.touched || h.finished {
		return
	}
	m.cancelled = append(m.cancelled, leftover{target: h.target, attempt: h.grant.Attempt})
}

// awaitGone waits until the endpoints no longer hold the run's attempts.
//
// A cancel is only asked for when a run ends; the engine may decode on while a
// repeat of the same key already runs elsewhere, so that the request takes two
// slots at once. The record stays "in flight" until the old run is seen gone,
// or goneBound has passed: an endpoint that can't be asked for so long is dead
// or swept.
func (m *modelRun) awaitGone() {
	ctx, cancel := context.WithTimeout(context.Background(), goneBound)
	defer cancel()
	for _, l := range m.cancelled {
		for m.router.stillHeld(ctx, l) {
			if pause(ctx, gonePause) != nil {
				return
			}
		}
	}
}

// stillHeld asks the endpoint; another process there holds nothing of ours.
func (r *Router) stillHeld(ctx context.Context, l leftover) bool {
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
