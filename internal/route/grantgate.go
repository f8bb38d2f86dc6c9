package route

import (
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
)

// errGrantOver is the gate's refusal when the grant ran out before the send.
var errGrantOver = errors.New("the grant ran out before the send")

// gateUnder adds the hold's grant to the last check of placement and lease.
//
// Failure: an entry is frozen between the grant and the send for longer than
// the grant lives. The home has given the slot to another request meanwhile;
// the late send shows as two requests in one slot, or as a second run of an
// attempt that the home has already swept. The guard holds as the follower
// counts the grant's life from before it asked for it, so never longer than
// the home does, and nothing but the write comes after the gate.
func (r *Router) gateUnder(h *hold, place engine.Gate) engine.Gate {
	return func(t engine.Target) error {
		if err := place(t); err != nil {
			return err
		}
		if err := r.mayReach(h, t); err != nil {
			return err
		}
		if !r.opts.Follower.Valid(time.Now(), h.grant) {
			r.metrics.grantsOver.Inc()
			return errGrantOver
		}
		return nil
	}
}
