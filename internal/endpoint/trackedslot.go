package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// slotKey identifies a slot that this daemon acquires.
type slotKey struct {
	endpoint fleet.EndpointID
	hold     holdKey
}

// trackedSlot is a slot that this daemon requests or holds. It is guarded by
// the follower's slotsMu.
type trackedSlot struct {
	request   *pb.GrantRequest
	address   string // RPC address of the home that granted
	expiresAt time.Time
	renewedAt time.Time
	confirmed bool // the endpoint has listed the hold: no renewal needed
	refused   bool // a renewal was refused
}

func (f *HomeClient) track(key slotKey, t *trackedSlot) {
	f.slotsMu.Lock()
	defer f.slotsMu.Unlock()
	if _, there := f.slots[key]; !there {
		f.slotsByAttempt[key.hold.attempt]++
	}
	f.slots[key] = t
}

func (f *HomeClient) untrack(key slotKey) *trackedSlot {
	f.slotsMu.Lock()
	defer f.slotsMu.Unlock()
	t, there := f.slots[key]
	if !there {
		return nil
	}
	delete(f.slots, key)
	f.slotsByAttempt[key.hold.attempt]--
	if f.slotsByAttempt[key.hold.attempt] <= 0 {
		delete(f.slotsByAttempt, key.hold.attempt)
	}
	return t
}

// Running implements Follower. An attempt runs from the start of Acquire until
// Release.
func (f *HomeClient) Running(attempt fleet.AttemptID) bool {
	f.slotsMu.Lock()
	defer f.slotsMu.Unlock()
	return f.slotsByAttempt[attempt] > 0
}

// Valid implements Follower. The slot of an expired grant may already be
// granted to another attempt.
func (f *HomeClient) Valid(now time.Time, g Grant) bool {
	f.slotsMu.Lock()
	defer f.slotsMu.Unlock()
	t, there := f.slots[slotKey{g.Endpoint, holdKey{g.Attempt, g.Kind}}]
	if !there || t.refused {
		return false
	}
	return t.confirmed || now.Before(t.expiresAt)
}
