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

// errCooldown is the gate's error for an endpoint that requested a cooldown from this entry.
var errCooldown = errors.New("the endpoint has asked this entry for a cooldown")

// maxCooldowns limits the number of cooldowns that are remembered.
const maxCooldowns = 4096

// cooldowns records which endpoints requested a cooldown from this entry. It applies to this
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
func (c *cooldowns) add(now time.Time, t engine.Target, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, until := range c.until {
		if !now.Before(until) {
			delete(c.until, key)
		}
	}
	key := processKey{t.ID, t.Incarnation}
	if until := now.Add(d); until.After(c.until[key]) && len(c.until) < maxCooldowns {
		c.until[key] = until
	}
}

// remaining returns the time until the endpoint's cooldown ends; 0: there is none.
func (c *cooldowns) remaining(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.until[processKey{id, incarnation}].Sub(now))
}

// filter returns the candidates that are in no cooldown, and the time until the first
// cooldown of the others ends; 0: no candidate is in one.
func (c *cooldowns) filter(now time.Time, candidates []endpoint.Candidate) (available []endpoint.Candidate, firstEnd time.Duration) {
	available = make([]endpoint.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		left := c.remaining(now, candidate.ID, candidate.Incarnation)
		if left == 0 {
			available = append(available, candidate)
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
func (r *Router) availableCandidates(ctx context.Context, query func() endpoint.Query, deadline time.Time) (available []endpoint.Candidate, firstEnd time.Duration) {
	return r.cooldowns.filter(time.Now(), r.candidates(ctx, query, deadline))
}

// recordCooldown records a cooldown of d that an endpoint's answer requested; 0: none.
func (r *Router) recordCooldown(t engine.Target, d time.Duration) {
	if d <= 0 {
		return
	}
	r.cooldowns.add(time.Now(), t, d)
	r.metrics.cooldowns.Inc()
	r.opts.Logger.Info("Endpoint asked for a cooldown.", "endpoint", t.ID, "rest_ms", d.Milliseconds())
}

// recordCooldownFromError records the cooldown that a failed call's answer requested.
func (r *Router) recordCooldownFromError(err error) {
	var e *engine.Error
	if errors.As(err, &e) {
		r.recordCooldown(e.Target, e.Cooldown)
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

// checkCooldown refuses the first send under a grant to an endpoint that has requested a
// cooldown since the grant was issued.
func (r *Router) checkCooldown(h *heldGrant, t engine.Target) error {
	if h.maybeSent || r.cooldowns.remaining(time.Now(), t.ID, t.Incarnation) == 0 {
		return nil
	}
	r.metrics.cooldownRefused.Inc()
	return errCooldown
}

// requestedCooldown returns the cooldown that a response to a plain call requests.
func requestedCooldown(answer *CallResponse) time.Duration {
	return dispatch.CooldownFromAnswer(answer.StatusCode, answer.Header)
}
