package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// heartbeatWithLimit sends a heartbeat with a rate limit.
func heartbeatWithLimit(c *core, now time.Time, sequence uint64, perSecond float64) {
	_, _ = c.heartbeat(now, engineapi.Heartbeat{Announcement: announcement("e1", 20), Sequence: sequence, LimitPerSecond: &perSecond})
}

// An endpoint that needs fewer requests must not get as many as it has slots:
// its home issues no more grants than the limit allows, over any home changes.
func TestGrantsStayWithinTheRateLimit(t *testing.T) {
	const window, bound = 4 * time.Second, 1.5*2*4 + 5
	c := homeOfOne(t, 20, testFaults{})
	var granted []time.Duration
	sequence := uint64(1)
	for now := time.Duration(0); now < 30*time.Second; now += 30 * time.Millisecond {
		if now == 15*time.Second {
			c = emptyHome(testFaults{})
			c.observe(at(now), viewOf(2, instance("a", zoneNear), instance("owner", zoneFar)), true)
		}
		if now%(300*time.Millisecond) == 0 {
			sequence++
			heartbeatWithLimit(c, at(now), sequence, 2)
		}
		attempt := fmt.Sprint("a", now)
		if statusAt(c, at(now), attempt) == pb.GrantStatus_GRANT_STATUS_GRANTED {
			granted = append(granted, now)
			finish(c, at(now), attempt)
		}
	}
	for n, first := range granted {
		got := 0
		for _, g := range granted[n:] {
			if g <= first+window {
				got++
			}
		}
		assert.Assert(t, got <= bound, "%d grants in %s from %s on", got, window, first)
	}
	assert.Assert(t, len(granted) > 40, "%d grants: the limit is used", len(granted))
}

// Callers must not wait where the limit allows no grant within their maximum
// wait.
func TestRateLimitRefusesLongWaitsAtOnce(t *testing.T) {
	c := homeOfOne(t, 20, testFaults{})
	heartbeatWithLimit(c, at(time.Second), 2, 0)
	a := requestFor("a1", at(time.Second))
	a.maxWait = 2 * time.Second
	got, queued := c.grant(at(time.Second), a)
	assert.Assert(t, queued == nil)
	assert.Equal(t, got.status, pb.GrantStatus_GRANT_STATUS_FULL)
	assert.Assert(t, got.retryAfter > 0)
	c.heartbeat(at(2*time.Second), engineapi.Heartbeat{Announcement: announcement("e1", 20), Sequence: 3})
	assert.Equal(t, statusAt(c, at(2*time.Second), "a2"), pb.GrantStatus_GRANT_STATUS_GRANTED)
}

// A faulty endpoint must not lift its limit, or stop its own traffic, with an
// invalid one.
func TestInvalidRateLimitIsIgnored(t *testing.T) {
	var l rateLimit
	for _, bad := range []float64{-1, 1e300} {
		l.update(at(0), &bad)
		assert.Assert(t, !l.set)
	}
	good := 3.0
	l.update(at(0), &good)
	bad := -1.0
	l.update(at(0), &bad)
	assert.Assert(t, l.set && l.perSecond == good)
}
