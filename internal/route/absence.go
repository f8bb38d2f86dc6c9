package route

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// The bounds of a wait for endpoints whose home moves.
const (
	homeMove     = 2 * time.Second // longest time that a move keeps endpoints out of sight
	absencePoll  = 20 * time.Millisecond
	maxPlacesKey = 4096 // queries remembered
)

// place names what a query looks for.
type place struct {
	kind    fleet.EndpointRole
	model   string
	service string
	zones   string
}

// seen remembers when endpoints for a place were last known.
//
// Failure: an instance joins, stops or dies and becomes or ceases to be the
// home of some endpoints. Until the new home knows them, followers have no
// candidate: it shows as a burst of refusals of requests that a second's wait
// would have served. The guard holds because a place without any endpoint for
// longer than a move takes is refused at once, as before.
type seen struct {
	mu    sync.Mutex
	times map[place]time.Time
}

func newSeen() *seen { return &seen{times: make(map[place]time.Time)} }

func (s *seen) note(p place, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.times[p]; !known && len(s.times) >= maxPlacesKey {
		return
	}
	s.times[p] = now
}

// last tells when endpoints for a place were last known.
func (s *seen) last(p place) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.times[p]
	return at, known
}

// mayAppear tells whether endpoints for a place that has none may still come.
//
// Failure: a daemon that has just joined is given to callers before its
// follower has heard of any endpoint, or while its own joining moves their
// homes; requests in its first second are refused although endpoints are idle.
// The guard holds because a place that was never seen counts as last seen when
// all homes had been asked.
func (r *Router) mayAppear(p place, now time.Time) bool {
	if last, known := r.seen.last(p); known {
		return now.Before(last.Add(homeMove))
	}
	surveyed, done := r.opts.Follower.Surveyed()
	return !done || now.Before(surveyed.Add(homeMove))
}

// candidates asks the follower, and waits while endpoints may still appear,
// until deadline or ctx ends.
func (r *Router) candidates(ctx context.Context, q endpoint.Query, deadline time.Time) []endpoint.Candidate {
	p := place{kind: q.Kind, model: q.Model.String(), service: q.Service, zones: q.Permitted.Class()}
	for {
		found := r.opts.Follower.Candidates(q)
		now := time.Now()
		if len(found) > 0 {
			r.seen.note(p, now)
			return found
		}
		if !now.Before(deadline) || !r.mayAppear(p, now) {
			return nil
		}
		if pause(ctx, absencePoll) != nil {
			return nil
		}
	}
}
