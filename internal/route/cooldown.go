package route

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// errCooldown is the gate's error for an endpoint that asked this entry for a cooldown.
var errCooldown = errors.New("the endpoint has asked this entry for a cooldown")

// maxCooldowns limits the number of cooldowns that are remembered.
const maxCooldowns = 4096

// cooldowns records which endpoints asked this entry for a cooldown. It applies to this
// entry only: an endpoint's home continues to grant slots to others. No other lock is
// taken while mu is held.
type cooldowns struct {
	mu    sync.Mutex
	until map[processKey]time.Time
}

// processKey identifies one process of an endpoint.
type processKey struct {
	id          fleet.EndpointID
	incarnation fleet.Incarnation
}

func newCooldowns() *cooldowns { return &cooldowns{until: make(map[processKey]time.Time)} }

// add records a cooldown of d from now on. An earlier one that ends later stays.
func (r *cooldowns) add(now time.Time, t engine.Target, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, until := range r.until {
		if !now.Before(until) {
			delete(r.until, key)
		}
	}
	key := processKey{t.ID, t.Incarnation}
	if until := now.Add(d); until.After(r.until[key]) && len(r.until) < maxCooldowns {
		r.until[key] = until
	}
}

// remaining returns the time until the endpoint's cooldown ends; 0: there is none.
func (r *cooldowns) remaining(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.until[processKey{id, incarnation}].Sub(now))
}

// filter returns the candidates that are in no cooldown, and the time until the first
// cooldown of the others ends; 0: no candidate is in one.
func (r *cooldowns) filter(now time.Time, candidates []endpoint.Candidate) (available []endpoint.Candidate, firstEnd time.Duration) {
	available = make([]endpoint.Candidate, 0, len(candidates))
	for _, c := range candidates {
		left := r.remaining(now, c.ID, c.Incarnation)
		if left == 0 {
			available = append(available, c)
			continue
		}
		if firstEnd == 0 || left < firstEnd {
			firstEnd = left
		}
	}
	return available, firstEnd
}

// availableCandidates returns the candidates that are in no cooldown, and the time
// until the first cooldown of the others ends; 0: no candidate is in one.
func (r *Router) availableCandidates(ctx context.Context, q endpoint.Query, deadline time.Time) (available []endpoint.Candidate, firstEnd time.Duration) {
	return r.cooldowns.filter(time.Now(), r.candidates(ctx, q, deadline))
}

// recordCooldown records a cooldown of d that an endpoint's answer asked for; 0: none.
func (r *Router) recordCooldown(t engine.Target, d time.Duration) {
	if d <= 0 {
		return
	}
	r.cooldowns.add(time.Now(), t, d)
	r.metrics.cooldowns.Inc()
	r.opts.Logger.Info("Endpoint asked for a cooldown.", "endpoint", t.ID, "rest_ms", d.Milliseconds())
}

// recordCooldownFromError records the cooldown that a failed call's answer asked for.
func (r *Router) recordCooldownFromError(err error) {
	var e *engine.Error
	if errors.As(err, &e) {
		r.recordCooldown(e.Target, e.Rest)
	}
}

// endpointOfError returns the endpoint of a send that failed with err; "" if it isn't
// known.
func endpointOfError(err error) fleet.EndpointID {
	var e *engine.Error
	if errors.As(err, &e) {
		return e.Target.ID
	}
	return ""
}

// checkCooldown refuses the first send under a grant to an endpoint that has asked for
// a cooldown since the grant was given.
func (r *Router) checkCooldown(h *heldGrant, t engine.Target) error {
	if h.maybeSent || r.cooldowns.remaining(time.Now(), t.ID, t.Incarnation) == 0 {
		return nil
	}
	r.metrics.cooldownRefused.Inc()
	return errCooldown
}

// requestedCooldown returns the cooldown that a response to a plain call asks for.
func requestedCooldown(answer *CallResponse) time.Duration {
	return dispatch.CooldownFromAnswer(answer.StatusCode, answer.Header)
}
