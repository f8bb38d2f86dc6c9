package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// beatLimited is a heartbeat that names a limit.
func beatLimited(c *core, now time.Time, sequence uint64, perSecond float64) {
	_, _ = c.heartbeat(now, engineapi.Heartbeat{Announcement: announcement("e1", 20), Sequence: sequence, LimitPerSecond: &perSecond})
}

// Guards against an endpoint in need that gets as many requests as it has slots: its home
// gives no more grants than it takes, over any home changes.
func TestLimitedEndpointGetsNoMoreGrants(t *testing.T) {
	const window, bound = 4 * time.Second, 1.5*2*4 + 5
	c := soleHome(t, 20, guards{})
	var granted []time.Duration
	sequence := uint64(1)
	for now := time.Duration(0); now < 30*time.Second; now += 30 * time.Millisecond {
		if now == 15*time.Second {
			c = emptyHome(guards{})
			c.observe(at(now), viewOf(2, instance("a", zoneNear), instance("owner", zoneFar)), true)
		}
		if now%(300*time.Millisecond) == 0 {
			sequence++
			beatLimited(c, at(now), sequence, 2)
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

// Guards against callers that wait where nothing will be given in their time.
func TestLimitedEndpointRefusesAtOnce(t *testing.T) {
	c := soleHome(t, 20, guards{})
	beatLimited(c, at(time.Second), 2, 0)
	a := askFor("a1", at(time.Second))
	a.wait = 2 * time.Second
	got, queued := c.grant(at(time.Second), a)
	assert.Assert(t, queued == nil)
	assert.Equal(t, got.status, pb.GrantStatus_GRANT_STATUS_FULL)
	assert.Assert(t, got.retryAfter > 0)
	c.heartbeat(at(2*time.Second), engineapi.Heartbeat{Announcement: announcement("e1", 20), Sequence: 3})
	assert.Equal(t, statusAt(c, at(2*time.Second), "a2"), pb.GrantStatus_GRANT_STATUS_GRANTED)
}

// Guards against a faulty endpoint that lifts its limit, or takes itself out, by what is
// no limit.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	var l limited
	for _, bad := range []float64{-1, 1e300} {
		l.said(at(0), &bad)
		assert.Assert(t, !l.named)
	}
	good := 3.0
	l.said(at(0), &good)
	bad := -1.0
	l.said(at(0), &bad)
	assert.Assert(t, l.named && l.perSecond == good)
}
