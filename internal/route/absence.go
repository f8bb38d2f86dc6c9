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

// waitEnd gives until when endpoints for a place may come back.
func (s *seen) waitEnd(p place) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.times[p]
	if !known {
		return time.Time{}
	}
	return last.Add(homeMove)
}

// candidates asks the follower, and waits for endpoints that were there a
// moment ago until homeMove has passed, deadline or ctx ends.
func (r *Router) candidates(ctx context.Context, q endpoint.Query, deadline time.Time) []endpoint.Candidate {
	p := place{kind: q.Kind, model: q.Model.String(), service: q.Service, zones: q.Permitted.Class()}
	for {
		found := r.opts.Follower.Candidates(q)
		now := time.Now()
		if len(found) > 0 {
			r.seen.note(p, now)
			return found
		}
		if !now.Before(r.seen.waitEnd(p)) || !now.Before(deadline) {
			return nil
		}
		if pause(ctx, absencePoll) != nil {
			return nil
		}
	}
}
