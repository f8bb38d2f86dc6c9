package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// takenKey names one take of this daemon.
type takenKey struct {
	endpoint fleet.EndpointID
	hold     holdKey
}

// taken is a slot that this daemon asks for, holds, or gives back. Guarded by
// the follower's attemptsMu.
type taken struct {
	request   *pb.GrantRequest
	address   string // RPC address of the home that granted
	expires   time.Time
	renewed   time.Time
	confirmed bool // the endpoint has reported the hold: no renewal needed
	refused   bool // a renewal was refused
}

func (f *HomeClient) track(key takenKey, t *taken) {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	if _, there := f.attempts[key]; !there {
		f.byAttempt[key.hold.attempt]++
	}
	f.attempts[key] = t
}

func (f *HomeClient) untrack(key takenKey) *taken {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	t, there := f.attempts[key]
	if !there {
		return nil
	}
	delete(f.attempts, key)
	f.byAttempt[key.hold.attempt]--
	if f.byAttempt[key.hold.attempt] <= 0 {
		delete(f.byAttempt, key.hold.attempt)
	}
	return t
}

// Running implements Follower: from the start of a take to its give.
func (f *HomeClient) Running(attempt fleet.AttemptID) bool {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	return f.byAttempt[attempt] > 0
}

// Valid implements Follower: a grant that ran out may be someone else's by
// now.
func (f *HomeClient) Valid(now time.Time, g Grant) bool {
	f.attemptsMu.Lock()
	defer f.attemptsMu.Unlock()
	t, there := f.attempts[takenKey{g.Endpoint, holdKey{g.Attempt, g.Kind}}]
	if !there || t.refused {
		return false
	}
	return t.confirmed || now.Before(t.expires)
}
