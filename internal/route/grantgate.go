package route

import (
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
)

// errGrantExpired is the gate's error when the grant expired before the send.
var errGrantExpired = errors.New("the grant expired before the send")

// grantGate returns a gate that checks the placement and lease by place, then the
// endpoint's cooldown and the validity of the grant.
//
// An entry may be frozen between grant and send for longer than the grant lives,
// and the home may grant the slot to another request meanwhile. A late send would
// put two requests into one slot, or run an attempt again that the home has already
// swept. The follower counts a grant's life from before it requested the grant, so
// never longer than the home does, and only the write follows the gate.
func (r *Router) grantGate(h *heldGrant, placementGate engine.Gate) engine.Gate {
	return func(t engine.Target) error {
		if err := placementGate(t); err != nil {
			return err
		}
		if err := r.checkCooldown(h, t); err != nil {
			return err
		}
		if !r.opts.Follower.Valid(time.Now(), h.grant) {
			r.metrics.grantsExpired.Inc()
			return errGrantExpired
		}
		return nil
	}
}
