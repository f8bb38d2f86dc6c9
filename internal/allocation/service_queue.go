package allocation

import "time"

// serviceQueue holds the usage of one service and the requests that wait for capacity.
type serviceQueue struct {
	tracker   *UsageTracker
	cleanedAt time.Time  // last cleanup of dead entries and removed endpoints
	retained  []Endpoint // endpoints at the last removal of others
	line      waitLine
	places    streamPlaces
}

// newWaiter returns a request that is about to wait.
func (q *serviceQueue) newWaiter(now time.Time, request ReservationRequest) *waiter {
	return &waiter{
		request: request, latestStart: now.Add(request.Patience - request.AnswerDuration),
		isResumed: request.Resumes && q.places.mayTake(now, request.Stream), placement: make(chan Placement, 1),
	}
}

// serveWaiters makes reservations for waiting requests.
func (q *serviceQueue) serveWaiters(now time.Time, endpoints []Endpoint) {
	q.line.serve(func(w *waiter) bool {
		placement := q.tracker.Reserve(now, endpoints, w.request)
		if placement.Endpoint == "" {
			return false
		}
		if w.isResumed {
			q.places.record(now, w.request.Stream)
		}
		w.placement <- placement
		return true
	})
}
