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

// errResting is the gate's refusal for an endpoint that asked this entry for rest.
var errResting = errors.New("the endpoint rests from this entry")

// mostResting bounds the endpoints that are known to rest.
const mostResting = 4096

// resting remembers which endpoints asked this entry for rest. The word is one entry's:
// an endpoint's home goes on giving slots to the others. Its lock is a leaf.
type resting struct {
	mu    sync.Mutex
	until map[restKey]time.Time
}

// restKey is one process of an endpoint.
type restKey struct {
	id          fleet.EndpointID
	incarnation fleet.Incarnation
}

func newResting() *resting { return &resting{until: make(map[restKey]time.Time)} }

// note takes in a rest that begins now. The longest that was asked for counts.
func (r *resting) note(now time.Time, t engine.Target, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, until := range r.until {
		if !now.Before(until) {
			delete(r.until, key)
		}
	}
	key := restKey{t.ID, t.Incarnation}
	if until := now.Add(d); until.After(r.until[key]) && len(r.until) < mostResting {
		r.until[key] = until
	}
}

// left is for how long an endpoint still rests; 0 where it doesn't.
func (r *resting) left(now time.Time, id fleet.EndpointID, incarnation fleet.Incarnation) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.until[restKey{id, incarnation}].Sub(now))
}

// without drops the candidates that rest, and tells when the first of these is over; 0
// where none rests.
func (r *resting) without(now time.Time, candidates []endpoint.Candidate) (open []endpoint.Candidate, first time.Duration) {
	open = make([]endpoint.Candidate, 0, len(candidates))
	for _, c := range candidates {
		left := r.left(now, c.ID, c.Incarnation)
		if left == 0 {
			open = append(open, c)
			continue
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return open, first
}

// open gives the candidates that don't rest, and when the first rest of the others is over.
func (r *Router) open(ctx context.Context, q endpoint.Query, deadline time.Time) (list []endpoint.Candidate, first time.Duration) {
	return r.resting.without(time.Now(), r.candidates(ctx, q, deadline))
}

// hearRest takes in that an endpoint's answer asked for rest; 0 for none.
func (r *Router) hearRest(t engine.Target, d time.Duration) {
	if d <= 0 {
		return
	}
	r.resting.note(time.Now(), t, d)
	r.metrics.rests.Inc()
	r.opts.Part.Info("An endpoint asks for rest.", "endpoint", t.ID, "rest_ms", d.Milliseconds())
}

// hearRefusal takes in a failed call to an endpoint.
func (r *Router) hearRefusal(err error) {
	var e *engine.Error
	if errors.As(err, &e) {
		r.hearRest(e.Target, e.Rest)
	}
}

// restingEndpoint names the endpoint of a send that mayReach refused.
func restingEndpoint(err error) fleet.EndpointID {
	var e *engine.Error
	if errors.As(err, &e) {
		return e.Target.ID
	}
	return ""
}

// mayReach is the last check before a send to an endpoint that has nothing of the request
// yet: it may have asked for rest since its slot was given.
func (r *Router) mayReach(h *hold, t engine.Target) error {
	if h.touched || r.resting.left(time.Now(), t.ID, t.Incarnation) == 0 {
		return nil
	}
	r.metrics.restKept.Inc()
	return errResting
}

// restOf is what an answer to a plain call asks for.
func restOf(answer *CallAnswer) time.Duration {
	return dispatch.RestOf(answer.StatusCode, answer.Header)
}
