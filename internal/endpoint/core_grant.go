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

// minRetryAfter keeps refused callers from coming back at once.
const minRetryAfter = 20 * time.Millisecond

// grant answers an ask at once, or queues it: then queued is set and the
// answer comes with a later step's effects.
func (c *core) grant(now time.Time, a *ask) (now_ answer, queued *waiting) {
	r, ok := c.endpoints[a.endpoint]
	if !ok {
		return refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT), nil
	}
	if !c.isHome(r) || !c.current {
		return c.notHome(r), nil
	}
	if r.leaving {
		return c.whileLeaving(now, r, a), nil
	}
	if r.silent || now.Sub(r.heard) >= c.limits.EndpointLease || !r.announced.Role.Takes(a.kind) {
		return refused(pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT), nil
	}
	if h, ok := r.holds[a.key()]; ok {
		return c.renew(now, r, h, a), nil
	}
	if _, ended := r.released[a.key()]; ended && !c.guards.noReleasedNote {
		// A copy of a request whose slot was given back: late on its way.
		return answer{status: statusFull}, nil
	}
	if a.mostAhead > 0 && c.ahead(now, r) > a.mostAhead {
		return c.full(now, r, r.queue.size), nil
	}
	return c.queueAsk(now, r, a)
}

// ahead predicts what a new request waits for at an endpoint: a slot, and for
// a prefill the work before it.
func (c *core) ahead(now time.Time, r *record) time.Duration {
	return c.freeIn(now, r, r.queue.size) + c.queuedWork(now, r)
}

// whileLeaving lets confirmed work be renewed and gives nothing new.
func (c *core) whileLeaving(now time.Time, r *record, a *ask) answer {
	if h, ok := r.holds[a.key()]; ok && h.confirmed() {
		return c.renew(now, r, h, a)
	}
	return refused(pb.GrantStatus_GRANT_STATUS_LEAVING)
}

// renew answers a request that is repeated: its slot is held longer. A hold
// that only the endpoint had told of becomes the owner's again.
func (c *core) renew(now time.Time, r *record, h *hold, a *ask) answer {
	if h.owner != a.owner || h.state == holdReleased || !h.cancelled.IsZero() {
		return answer{status: statusFull}
	}
	if h.state == holdReported {
		c.fill(h, a)
		h.state = holdFirm
	}
	h.lapse = later(h.lapse, now.Add(c.limits.GrantLife))
	return c.granted(now, r, h)
}

func (c *core) fill(h *hold, a *ask) {
	h.team = a.team
	h.model = a.model
	h.fingerprint = a.fingerprint
	h.alone = a.alone
	h.expected = a.expected
	h.prompt = a.prompt
}

func (c *core) granted(now time.Time, r *record, h *hold) answer {
	ready := time.Duration(0)
	if h.state == holdPromised {
		ready = r.promiseReady(now, c.predictor, h)
	}
	return answer{
		status:      statusGranted,
		incarnation: r.announced.Incarnation,
		address:     r.announced.Address,
		zone:        r.announced.Zone,
		expires:     c.mayBeginFor(now, r, h),
		readyIn:     ready,
		confirmed:   h.confirmed(),
	}
}

// mayBeginFor gives how long work may begin on a hold; see NewWorkBound.
func (c *core) mayBeginFor(now time.Time, r *record, h *hold) time.Duration {
	silence := r.heard.Add(NewWorkBound - newWorkMargin).Sub(now)
	return max(min(h.lapse.Sub(now), silence), 0)
}

// promiseReady predicts when the slot that h waits for is free.
func (r *record) promiseReady(now time.Time, p *Predictor, h *hold) time.Duration {
	f := r.forecast(now, p)
	for n, other := range r.promised() {
		if other == h && f.used > 0 {
			return f.release(min(n, f.used-1), likelyPart)
		}
	}
	return 0
}

func (c *core) queueAsk(now time.Time, r *record, a *ask) (answer, *waiting) {
	c.order++
	work := c.predictor.Remaining(a.finished(), a.expected, 0, medianQuantile)
	w := &waiting{ask: a, order: c.order, work: max(float64(work)/float64(time.Millisecond), 1)}
	if dropped := r.queue.push(w); dropped != nil {
		if dropped == w {
			return c.full(now, r, r.queue.size), nil
		}
		c.end(r, dropped, c.full(now, r, r.queue.size))
	}
	c.pump(now, r)
	if h, ok := r.holds[a.key()]; ok {
		c.forgetAnswer(w)
		return c.granted(now, r, h), nil
	}
	ahead := r.queue.ahead(w)
	if c.freeIn(now, r, ahead)-a.lead > a.wait {
		r.queue.remove(w)
		return c.full(now, r, ahead), nil
	}
	return answer{}, w
}

// forgetAnswer takes back a dispatch's answer, which is given directly.
func (c *core) forgetAnswer(w *waiting) {
	for n, e := range c.out.answers {
		if e.to == w {
			c.out.answers = append(c.out.answers[:n], c.out.answers[n+1:]...)
			return
		}
	}
}

// full refuses with the time after which ahead requests have drained.
func (c *core) full(now time.Time, r *record, ahead int) answer {
	after := r.drain.clear(ahead + 1)
	if after == 0 {
		after = r.forecast(now, c.predictor).freeIn(ahead)
	}
	after = max(after, r.limited.freeIn(now, ahead))
	return answer{status: statusFull, retryAfter: max(after, minRetryAfter)}
}

// abandon takes a queued ask out whose caller has gone; if it was granted
// meanwhile the hold is freed.
func (c *core) abandon(now time.Time, w *waiting) {
	r, ok := c.endpoints[w.ask.endpoint]
	if !ok {
		return
	}
	if r.queue.remove(w) {
		return
	}
	if h, ok := r.holds[w.ask.key()]; ok && h.owner == w.ask.owner && !h.confirmed() {
		r.released[h.key] = now
		c.free(now, r, h)
		c.pump(now, r)
	}
}

// pump grants free slots, then slots that are soon free, to those who wait.
func (c *core) pump(now time.Time, r *record) {
	if !c.ready(now, r) {
		return
	}
	r.complete = true
	for {
		c.settlePromises(now, r)
		w := r.queue.next(func(w *waiting) bool { return !w.ask.alone || !r.aloneTaken(w.ask.key().attempt) })
		if w == nil {
			return
		}
		if r.used()+len(r.promised()) < r.announced.Slots {
			if !r.limited.take(now) {
				return
			}
			c.dispatch(now, r, w, holdFirm, 0)
			continue
		}
		ready := r.forecast(now, c.predictor).likelyFreeIn(0)
		if len(r.promised()) >= maxPromised(r.announced.Slots) || ready > w.ask.lead || !r.limited.take(now) {
			return
		}
		c.dispatch(now, r, w, holdPromised, ready)
	}
}

// maxPromised bounds the slots granted before they are free.
func maxPromised(slots int) int { return (slots + 3) / 4 }

// settlePromises gives free slots to promises, oldest first.
func (c *core) settlePromises(now time.Time, r *record) {
	free := r.announced.Slots - r.used()
	for _, h := range r.promised() {
		if free <= 0 {
			return
		}
		h.state = holdFirm
		h.lapse = later(h.lapse, now.Add(c.limits.GrantLife))
		free--
	}
}

func (c *core) dispatch(now time.Time, r *record, w *waiting, state holdState, ready time.Duration) {
	r.queue.dispatch(w)
	h := &hold{
		key:       w.ask.key(),
		state:     state,
		owner:     w.ask.owner,
		granted:   now,
		lapse:     now.Add(ready + c.limits.GrantLife),
		ownerSeen: c.view.Holds(w.ask.owner),
	}
	c.fill(h, w.ask)
	r.holds[h.key] = h
	a := c.granted(now, r, h)
	a.queued = now.Sub(w.ask.arrived)
	c.out.answers = append(c.out.answers, answered{to: w, answer: a})
	c.out.events = append(c.out.events, timeline.Event{
		Kind: timeline.KindGranted, Endpoint: r.announced.ID, Attempt: h.key.attempt, Team: h.team,
	})
}

// shed refuses those whose wait can't be kept, before their patience is over.
func (c *core) shed(now time.Time, r *record) {
	if r.queue.size == 0 {
		return
	}
	f := r.forecast(now, c.predictor)
	ahead := 0
	for _, w := range r.queue.ordered() {
		left := w.ask.wait - now.Sub(w.ask.arrived)
		if left <= 0 || max(f.freeIn(ahead), r.limited.freeIn(now, ahead))-w.ask.lead > left {
			c.end(r, w, c.full(now, r, ahead))
			continue
		}
		ahead++
	}
}

// free takes a hold out.
func (c *core) free(now time.Time, r *record, h *hold) {
	if r.holds[h.key] != h {
		return
	}
	delete(r.holds, h.key)
	r.drain.released(now)
}

// heartbeatDelay is how long a held list may have been on its way.
const heartbeatDelay = 100 * time.Millisecond

// lapse frees grants whose life has ended and that a held list of a later time
// doesn't show.
//
// The failure: work begins at the end of a grant's life; the slot is given
// again before a heartbeat could tell, and the engine refuses one of the two as
// full. The guard: only the arrival of a held list frees, and not one that may
// be older than the grant's end.
func (c *core) lapse(now time.Time, r *record) {
	for _, h := range r.holds {
		if now.Before(h.lapse.Add(heartbeatDelay)) || h.state == holdReleased {
			continue
		}
		c.free(now, r, h)
	}
}
