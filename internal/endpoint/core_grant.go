package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

const (
	statusGranted = pb.GrantStatus_GRANT_STATUS_GRANTED
	statusFull    = pb.GrantStatus_GRANT_STATUS_FULL
)

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 20 * time.Millisecond

// grant answers a request at once or queues it. If queued is set, the response
// follows in a later step's effects.
func (c *core) grant(now time.Time, a *slotRequest) (immediate response, queued *queuedRequest) {
	r, ok := c.endpoints[a.endpoint]
	if !ok {
		return refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT), nil
	}
	if !c.isHome(r) || !c.current {
		return c.notHome(r), nil
	}
	if r.leaving {
		return c.renewWhileLeaving(now, r, a), nil
	}
	if r.unreachable || now.Sub(r.lastContact) >= c.limits.EndpointLease || !r.announced.Role.Takes(a.kind) {
		return refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT), nil
	}
	if h, ok := r.holds[a.key()]; ok {
		return c.renew(now, r, h, a), nil
	}
	if _, ended := r.releasedAt[a.key()]; ended && !c.faults.noReleaseRecord {
		// A late copy of a request whose slot was released.
		return response{status: statusFull}, nil
	}
	if a.maxPredictedWait > 0 && c.predictedWait(now, r) > a.maxPredictedWait {
		return c.refuseFull(now, r, r.queue.size), nil
	}
	return c.enqueue(now, r, a)
}

// predictedWait predicts how long a new request waits at an endpoint: for a
// slot, and for a prefill also for the work before it.
func (c *core) predictedWait(now time.Time, r *record) time.Duration {
	return c.freeIn(now, r, r.queue.size) + c.queuedWork(now, r)
}

// renewWhileLeaving renews confirmed holds and refuses new requests.
func (c *core) renewWhileLeaving(now time.Time, r *record, a *slotRequest) response {
	if h, ok := r.holds[a.key()]; ok && h.confirmed() {
		return c.renew(now, r, h, a)
	}
	return refused(pb.GrantStatus_GRANT_STATUS_LEAVING)
}

// renew answers a repeated request by extending its hold. A hold that only the
// endpoint had reported becomes active.
func (c *core) renew(now time.Time, r *record, h *hold, a *slotRequest) response {
	if h.owner != a.owner || h.state == holdReleased || !h.cancelledAt.IsZero() {
		return response{status: statusFull}
	}
	if h.state == holdReported {
		c.applyRequest(h, a)
		h.state = holdActive
	}
	h.expiresAt = later(h.expiresAt, now.Add(c.limits.GrantLife))
	return c.granted(now, r, h)
}

func (c *core) applyRequest(h *hold, a *slotRequest) {
	h.team = a.team
	h.model = a.model
	h.fingerprint = a.fingerprint
	h.alone = a.alone
	h.expectedTokens = a.expectedTokens
	h.promptTokens = a.promptTokens
}

func (c *core) granted(now time.Time, r *record, h *hold) response {
	ready := time.Duration(0)
	if h.state == holdPending {
		ready = r.pendingReadyIn(now, c.predictor, h)
	}
	return response{
		status:      statusGranted,
		incarnation: r.announced.Incarnation,
		address:     r.announced.Address,
		zone:        r.announced.Zone,
		expires:     c.validFor(now, r, h),
		readyIn:     ready,
		confirmed:   h.confirmed(),
	}
}

// validFor returns for how long work may start on a hold; see NewWorkBound.
func (c *core) validFor(now time.Time, r *record, h *hold) time.Duration {
	silence := r.lastContact.Add(NewWorkBound - clockRateMargin).Sub(now)
	return max(min(h.expiresAt.Sub(now), silence), 0)
}

// pendingReadyIn predicts when the slot that h waits for is free.
func (r *record) pendingReadyIn(now time.Time, p *Predictor, h *hold) time.Duration {
	f := r.forecast(now, p)
	for n, other := range r.pending() {
		if other == h && f.used > 0 {
			return f.release(min(n, f.used-1), likelyPart)
		}
	}
	return 0
}

func (c *core) enqueue(now time.Time, r *record, a *slotRequest) (response, *queuedRequest) {
	c.arrivals++
	work := c.predictor.Remaining(a.finished(), a.expectedTokens, 0, medianQuantile)
	w := &queuedRequest{request: a, arrival: c.arrivals, workMs: max(float64(work)/float64(time.Millisecond), 1)}
	if dropped := r.queue.push(w); dropped != nil {
		if dropped == w {
			return c.refuseFull(now, r, r.queue.size), nil
		}
		c.respondQueued(r, dropped, c.refuseFull(now, r, r.queue.size))
	}
	c.dispatchQueued(now, r)
	if h, ok := r.holds[a.key()]; ok {
		c.dropResponse(w)
		return c.granted(now, r, h), nil
	}
	ahead := r.queue.ahead(w)
	if c.freeIn(now, r, ahead)-a.lead > a.maxWait {
		r.queue.remove(w)
		return c.refuseFull(now, r, ahead), nil
	}
	return response{}, w
}

// dropResponse removes the response that dispatch queued for w, which is sent
// directly.
func (c *core) dropResponse(w *queuedRequest) {
	for n, e := range c.effects.responses {
		if e.to == w {
			c.effects.responses = append(c.effects.responses[:n], c.effects.responses[n+1:]...)
			return
		}
	}
}

// refuseFull refuses a request. It may be retried after the predicted time in
// which ahead requests are served.
func (c *core) refuseFull(now time.Time, r *record, ahead int) response {
	after := r.releaseRate.timeFor(ahead + 1)
	if after == 0 {
		after = r.forecast(now, c.predictor).freeIn(ahead)
	}
	after = max(after, r.rateLimit.freeIn(now, ahead))
	return response{status: statusFull, retryAfter: max(after, minRetryAfter)}
}

// abandon removes a queued request whose caller has disconnected. If it was
// granted meanwhile, the hold is freed.
func (c *core) abandon(now time.Time, w *queuedRequest) {
	r, ok := c.endpoints[w.request.endpoint]
	if !ok {
		return
	}
	if r.queue.remove(w) {
		return
	}
	if h, ok := r.holds[w.request.key()]; ok && h.owner == w.request.owner && !h.confirmed() {
		r.releasedAt[h.key] = now
		c.free(now, r, h)
		c.dispatchQueued(now, r)
	}
}

// dispatchQueued grants free slots, and then slots that will soon be free, to
// queued requests.
func (c *core) dispatchQueued(now time.Time, r *record) {
	if !c.mayGrant(now, r) {
		return
	}
	r.knowsAllGrants = true
	for {
		c.assignFreeSlots(now, r)
		w := r.queue.next(func(w *queuedRequest) bool { return !w.request.alone || !r.runsOtherSuspect(w.request.key().attempt) })
		if w == nil {
			return
		}
		if r.used()+len(r.pending()) < r.announced.Slots {
			if !r.rateLimit.tryTake(now) {
				return
			}
			c.dispatch(now, r, w, holdActive, 0)
			continue
		}
		ready := r.forecast(now, c.predictor).likelyFreeIn(0)
		if len(r.pending()) >= maxPending(r.announced.Slots) || ready > w.request.lead || !r.rateLimit.tryTake(now) {
			return
		}
		c.dispatch(now, r, w, holdPending, ready)
	}
}

// maxPending bounds the slots that are granted before they are free.
func maxPending(slots int) int { return (slots + 3) / 4 }

// assignFreeSlots assigns free slots to pending holds, oldest first.
func (c *core) assignFreeSlots(now time.Time, r *record) {
	free := r.announced.Slots - r.used()
	for _, h := range r.pending() {
		if free <= 0 {
			return
		}
		h.state = holdActive
		h.expiresAt = later(h.expiresAt, now.Add(c.limits.GrantLife))
		free--
	}
}

func (c *core) dispatch(now time.Time, r *record, w *queuedRequest, state holdState, ready time.Duration) {
	r.queue.dispatch(w)
	h := &hold{
		key:       w.request.key(),
		state:     state,
		owner:     w.request.owner,
		grantedAt: now,
		expiresAt: now.Add(ready + c.limits.GrantLife),
		ownerSeen: c.view.Contains(w.request.owner),
	}
	c.applyRequest(h, w.request)
	r.holds[h.key] = h
	a := c.granted(now, r, h)
	a.queued = now.Sub(w.request.arrived)
	c.effects.responses = append(c.effects.responses, queuedResponse{to: w, response: a})
	c.effects.events = append(c.effects.events, timeline.Event{
		Kind: timeline.KindGranted, Endpoint: r.announced.ID, Attempt: h.key.attempt, Team: h.team,
	})
}

// refuseOverdue refuses queued requests that can't be served within their
// maximum wait, before it is over.
func (c *core) refuseOverdue(now time.Time, r *record) {
	if r.queue.size == 0 {
		return
	}
	f := r.forecast(now, c.predictor)
	ahead := 0
	for _, w := range r.queue.ordered() {
		left := w.request.maxWait - now.Sub(w.request.arrived)
		if left <= 0 || max(f.freeIn(ahead), r.rateLimit.freeIn(now, ahead))-w.request.lead > left {
			c.respondQueued(r, w, c.refuseFull(now, r, ahead))
			continue
		}
		ahead++
	}
}

// free removes a hold.
func (c *core) free(now time.Time, r *record, h *hold) {
	if r.holds[h.key] != h {
		return
	}
	delete(r.holds, h.key)
	r.releaseRate.released(now)
}

// maxHeartbeatDelay is how long a held list may have been in transit.
const maxHeartbeatDelay = 100 * time.Millisecond

// freeExpired frees expired holds that a later held list doesn't show.
//
// It runs only when a held list arrives, and only frees holds that expired
// before the list can have been sent. Work may start at the very end of a
// grant's lifetime. If time alone freed the hold, its slot could be granted
// again before a heartbeat shows that work, and the engine would refuse one of
// the two as full.
func (c *core) freeExpired(now time.Time, r *record) {
	for _, h := range r.holds {
		if now.Before(h.expiresAt.Add(maxHeartbeatDelay)) || h.state == holdReleased {
			continue
		}
		c.free(now, r, h)
	}
}
