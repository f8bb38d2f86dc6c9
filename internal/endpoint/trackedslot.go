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

func (c *HomeClient) track(key slotKey, t *trackedSlot) {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	if _, there := c.slots[key]; !there {
		c.slotsByAttempt[key.hold.attempt]++
	}
	c.slots[key] = t
}

func (c *HomeClient) untrack(key slotKey) *trackedSlot {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	t, there := c.slots[key]
	if !there {
		return nil
	}
	delete(c.slots, key)
	c.slotsByAttempt[key.hold.attempt]--
	if c.slotsByAttempt[key.hold.attempt] <= 0 {
		delete(c.slotsByAttempt, key.hold.attempt)
	}
	return t
}

// Running implements Follower. An attempt runs from the start of Acquire until
// Release.
func (c *HomeClient) Running(attempt fleet.AttemptID) bool {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	return c.slotsByAttempt[attempt] > 0
}

// Valid implements Follower. The slot of an expired grant may already be
// granted to another attempt.
func (c *HomeClient) Valid(now time.Time, g Grant) bool {
	c.slotsMu.Lock()
	defer c.slotsMu.Unlock()
	t, there := c.slots[slotKey{g.Endpoint, holdKey{g.Attempt, g.Kind}}]
	if !there || t.refused {
		return false
	}
	return t.confirmed || now.Before(t.expiresAt)
}
