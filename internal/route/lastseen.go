package route

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Limits of the wait for endpoints whose home is moving.
const (
	maxHomeMoveDuration = 2 * time.Second // maximum time for which a move hides endpoints
	absencePollInterval = 20 * time.Millisecond
	maxQueryKeys        = 4096 // queries remembered
)

// queryKey identifies a query for endpoints.
type queryKey struct {
	kind    fleet.EndpointRole
	model   string
	service string
	zones   string
}

// lastSeenTimes records when each query last found endpoints.
//
// When an instance joins, stops or dies, the home of some endpoints changes, and
// followers have no candidates until the new home knows them. Without a short
// wait such a change causes a burst of refusals. A query that has found nothing
// for longer than a move takes is refused at once.
type lastSeenTimes struct {
	mu    sync.Mutex
	times map[queryKey]time.Time
}

func newLastSeenTimes() *lastSeenTimes { return &lastSeenTimes{times: make(map[queryKey]time.Time)} }

func (s *lastSeenTimes) record(key queryKey, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.times[key]; !known && len(s.times) >= maxQueryKeys {
		return
	}
	s.times[key] = now
}

// last returns when the query last found endpoints.
func (s *lastSeenTimes) last(key queryKey) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.times[key]
	return at, known
}

// endpointsMayAppear reports whether a query that found no endpoints may still
// find some soon.
//
// A newly joined entry is announced to callers before its follower has received
// any endpoints, or while its own joining moves their homes. So that requests in
// its first second aren't refused while endpoints are idle, a query without any
// result so far counts as last seen at the time when all homes had been asked.
func (r *Router) endpointsMayAppear(key queryKey, now time.Time) bool {
	if last, known := r.lastSeen.last(key); known {
		return now.Before(last.Add(maxHomeMoveDuration))
	}
	surveyed, done := r.opts.Follower.FirstPollTime()
	return !done || now.Before(surveyed.Add(maxHomeMoveDuration))
}

// offersOtherVersions reports whether there are endpoints, but none of the versions that q allows.
// The move of a home doesn't change that.
func (r *Router) offersOtherVersions(q endpoint.Query) bool {
	if len(q.Software) == 0 {
		return false
	}
	q.Software = nil
	return len(r.opts.Follower.Candidates(q)) > 0
}

// candidates returns the follower's candidates for a query, which it reads anew each time. While
// there are none but some may still appear, it waits until deadline or the end of ctx.
func (r *Router) candidates(ctx context.Context, query func() endpoint.Query, deadline time.Time) []endpoint.Candidate {
	for {
		q := query()
		key := queryKey{kind: q.Kind, model: q.Model.String(), service: q.Service, zones: q.Permitted.Class()}
		found := r.opts.Follower.Candidates(q)
		now := time.Now()
		if len(found) > 0 || r.offersOtherVersions(q) {
			r.lastSeen.record(key, now)
			return found
		}
		if !now.Before(deadline) || !r.endpointsMayAppear(key, now) {
			return nil
		}
		if pause(ctx, absencePollInterval) != nil {
			return nil
		}
	}
}
