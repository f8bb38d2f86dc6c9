package endpoint

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time d after epoch.
func at(d time.Duration) time.Time { return epoch.Add(d) }

// coreAt returns a core for self that is Current in view at now.
func coreAt(now time.Time, self fleet.Instance, view fleet.View, g testFaults) *core {
	c := newCore(now, self.Owner(), DefaultLimits(), 1)
	c.faults = g
	c.observe(now, view, true)
	return c
}

// emptyHome returns a core that is the home of all endpoints of its zone.
func emptyHome(g testFaults) *core {
	self := instance("a", zoneNear)
	return coreAt(epoch, self, viewOf(1, self, instance("owner", zoneFar)), g)
}

// homeOfOne returns an emptyHome that has received e1's first heartbeat.
func homeOfOne(t testing.TB, slots int, g testFaults) *core {
	t.Helper()
	c := emptyHome(g)
	heartbeatTo(c, epoch, announcement("e1", slots), 1)
	return c
}

func heartbeatTo(c *core, now time.Time, a engineapi.Announcement, sequence uint64, held ...engineapi.Held) []fleet.AttemptID {
	cancel, _ := c.heartbeat(now, engineapi.Heartbeat{Announcement: a, Sequence: sequence, Held: held})
	return cancel
}

func requestFor(attempt string, now time.Time) *slotRequest {
	return &slotRequest{endpoint: "e1", kind: fleet.RoleDecode, attempt: fleet.AttemptID(attempt), team: "sorters",
		owner: instance("owner", zoneFar).Owner(), model: model.String(), expectedTokens: 100, share: 1, arrived: now}
}

func heldBy(attempt string, owner fleet.Owner) engineapi.Held {
	return engineapi.Held{Attempt: fleet.AttemptID(attempt), Owner: owner, Stage: engineapi.StageDecode}
}

func releaseSlot(c *core, now time.Time, attempt string, reason pb.ReleaseReason, print fleet.Fingerprint) response {
	return c.release(now, slotRelease{endpoint: "e1", key: holdKey{fleet.AttemptID(attempt), fleet.RoleDecode},
		owner: instance("owner", zoneFar).Owner(), reason: reason, fingerprint: print})
}

// finish releases the slot of an attempt whose output is complete.
func finish(c *core, now time.Time, attempt string) response {
	return releaseSlot(c, now, attempt, pb.ReleaseReason_RELEASE_REASON_COMPLETED, fleet.Fingerprint{})
}

// statusAt returns the status for an attempt that requests a slot at now and
// doesn't wait.
func statusAt(c *core, now time.Time, attempt string) pb.GrantStatus {
	got, _ := c.grant(now, requestFor(attempt, now))
	return got.status
}

// onlyResponse returns the one response that c sends to a queued request.
func onlyResponse(t *testing.T, c *core) response {
	t.Helper()
	responses := c.takeEffects().responses
	assert.Equal(t, len(responses), 1)
	return responses[0].response
}

func TestGrantAnswers(t *testing.T) {
	now := at(100 * time.Millisecond)
	for name, test := range map[string]struct {
		before func(c *core)
		change func(a *slotRequest)
		want   pb.GrantStatus
	}{
		"free slot":         {want: statusGranted},
		"unknown endpoint":  {change: func(a *slotRequest) { a.endpoint = "e9" }, want: pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT},
		"wrong kind":        {change: func(a *slotRequest) { a.kind = fleet.RolePlain }, want: pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT},
		"no slot, no wait":  {before: func(c *core) { c.grant(now, requestFor("y1", now)); c.grant(now, requestFor("y2", now)) }, want: statusFull},
		"repeated":          {before: func(c *core) { c.grant(now, requestFor("x", now)); c.grant(now, requestFor("y", now)) }, want: statusGranted},
		"leases lost":       {before: func(c *core) { c.observe(now, c.view, false) }, want: pb.GrantStatus_GRANT_STATUS_NOT_HOME},
		"leaving":           {before: func(c *core) { c.leave("e1", 1) }, want: pb.GrantStatus_GRANT_STATUS_LEAVING},
		"leave of the past": {before: func(c *core) { c.leave("e1", 0) }, want: statusGranted},
		"endpoint counts more holds": {before: func(c *core) {
			heartbeatTo(c, now, announcement("e1", 2), 2, heldBy("p", fleet.Owner{}), heldBy("q", fleet.Owner{}))
		}, want: statusFull},
		"other's attempt": {before: func(c *core) { c.grant(now, requestFor("x", now)) }, change: func(a *slotRequest) { a.owner.Incarnation = 9 }, want: statusFull},
		"view moved home": {before: func(c *core) { c.observe(now, viewOf(2, instance("owner", zoneNear)), true) }, want: pb.GrantStatus_GRANT_STATUS_NOT_HOME},
	} {
		t.Run(name, func(t *testing.T) {
			c := homeOfOne(t, 2, testFaults{})
			if test.before != nil {
				test.before(c)
			}
			a := requestFor("x", now)
			if test.change != nil {
				test.change(a)
			}
			got, queued := c.grant(now, a)
			assert.Assert(t, queued == nil)
			assert.Equal(t, got.status, test.want)
		})
	}
}

// A request stays queued while its maximum wait can be kept. It is granted when
// a slot is released, and refused at once when the predicted wait is longer.
func TestQueue(t *testing.T) {
	c := homeOfOne(t, 1, testFaults{})
	c.grant(epoch, requestFor("x1", epoch)) // 100 tokens of 20 ms: 2 s
	short := requestFor("x2", epoch)
	short.maxWait = time.Second
	refusal, queued := c.grant(epoch, short)
	assert.Assert(t, queued == nil)
	assert.Equal(t, refusal.status, statusFull)
	assert.Equal(t, refusal.retryAfter, 2*time.Second)

	long := requestFor("x3", epoch)
	long.maxWait = 3 * time.Second
	_, queued = c.grant(epoch, long)
	assert.Assert(t, queued != nil)
	finish(c, at(500*time.Millisecond), "x1")
	answered := onlyResponse(t, c)
	assert.Equal(t, answered.status, statusGranted)
	assert.Equal(t, answered.queued, 500*time.Millisecond)
}

// A queued request whose maximum wait can't be kept any more is refused before
// that wait is over, not at its end.
func TestQueueRefusesBeforeTheDeadline(t *testing.T) {
	c := homeOfOne(t, 1, testFaults{})
	c.grant(epoch, requestFor("x1", epoch))
	a := requestFor("x2", epoch)
	a.maxWait = 2100 * time.Millisecond
	_, queued := c.grant(epoch, a)
	assert.Assert(t, queued != nil)
	// x1 runs longer than predicted, so it is expected to take twice as long.
	now := epoch
	sequence := uint64(1)
	for len(c.effects.responses) == 0 {
		now = now.Add(50 * time.Millisecond)
		sequence++
		heartbeatTo(c, now, announcement("e1", 1), sequence, heldBy("x1", requestFor("x1", epoch).owner))
		c.tick(now)
	}
	assert.Equal(t, c.effects.responses[0].response.status, statusFull)
	assert.Assert(t, now.Before(at(a.maxWait)), "refused at %v", now.Sub(epoch))
}

// With a lead, a slot is granted before it is free, at a small endpoint to one
// request at a time. The slots in use stay within bounds throughout.
func TestLead(t *testing.T) {
	c := homeOfOne(t, 1, testFaults{})
	c.grant(epoch, requestFor("x1", epoch))
	a := requestFor("x2", epoch)
	a.lead, a.maxWait = 500*time.Millisecond, 2*time.Second
	_, queued := c.grant(epoch, a)
	assert.Assert(t, queued != nil)
	running := heldBy("x1", a.owner)
	running.AgeMs = 1400
	heartbeatTo(c, at(1400*time.Millisecond), announcement("e1", 1), 2, running)
	c.tick(at(1400 * time.Millisecond))
	assert.Equal(t, len(c.effects.responses), 0)
	c.tick(at(1600 * time.Millisecond))
	answered := onlyResponse(t, c)
	assert.Equal(t, answered.readyIn, 400*time.Millisecond)
	r := c.endpoints["e1"]
	assert.Equal(t, r.used(), 1)
	assert.Equal(t, len(r.pending()), 1)
	finish(c, at(1900*time.Millisecond), "x1")
	c.tick(at(1900 * time.Millisecond))
	assert.Equal(t, r.used(), 1)
	assert.Equal(t, len(r.pending()), 0)
}

// An endpoint runs a suspect. A second suspect has to wait until the first has
// ended, even if a slot is free.
func TestOneSuspectAtATime(t *testing.T) {
	c := homeOfOne(t, 3, testFaults{})
	first, second := requestFor("x1", epoch), requestFor("x2", epoch)
	first.alone, second.alone = true, true
	second.maxWait = time.Minute
	got, _ := c.grant(epoch, first)
	assert.Equal(t, got.status, statusGranted)
	_, queued := c.grant(epoch, second)
	assert.Assert(t, queued != nil)
	assert.Equal(t, statusAt(c, epoch, "x3"), statusGranted)
	finish(c, at(time.Second), "x1")
	answered := onlyResponse(t, c)
	assert.Equal(t, answered.status, statusGranted)
}

// A request whose endpoint crashed is retried as a suspect. An endpoint of both
// roles gave it its decode slot, and then let its prefill wait until no suspect
// ran there, so the request waited for itself until it failed at its deadline
// ten seconds later.
func TestSuspectDoesNotWaitForItself(t *testing.T) {
	self := instance("a", zoneNear)
	c := coreAt(epoch, self, viewOf(1, self, instance("owner", zoneFar)), testFaults{})
	both := announcement("e1", 3)
	both.Role = fleet.RoleBoth
	heartbeatTo(c, epoch, both, 1)
	decode := requestFor("x1", epoch)
	decode.alone = true
	got, _ := c.grant(epoch, decode)
	assert.Equal(t, got.status, statusGranted)
	prefill := requestFor("x1", epoch)
	prefill.alone, prefill.kind, prefill.maxWait = true, fleet.RolePrefill, time.Minute
	got, queued := c.grant(epoch, prefill)
	assert.Assert(t, queued == nil, "it waits for itself")
	assert.Equal(t, got.status, statusGranted)
}

// A grant request is duplicated by the network, and the copy arrives after the
// slot was released. Without a record of the release, the copy takes a slot
// that nobody will use.
func TestLateCopyOfAGrantRequest(t *testing.T) {
	run := func(g testFaults) int {
		c := homeOfOne(t, 2, g)
		c.grant(epoch, requestFor("x1", epoch))
		finish(c, at(time.Second), "x1")
		c.grant(at(1100*time.Millisecond), requestFor("x1", at(1100*time.Millisecond)))
		return c.endpoints["e1"].used()
	}
	assert.Equal(t, run(testFaults{}), 0)
	assert.Equal(t, run(testFaults{noReleaseRecord: true}), 1, "the test must fail without the protection")
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	c := homeOfOne(t, 2, testFaults{})
	owner := requestFor("x", epoch).owner
	heartbeatTo(c, at(300*time.Millisecond), announcement("e1", 2), 3)
	heartbeatTo(c, at(310*time.Millisecond), announcement("e1", 2), 2, heldBy("old", owner))
	assert.Equal(t, c.endpoints["e1"].used(), 0, "a late held list must not count")
	newer := announcement("e1", 2)
	newer.Incarnation = 2
	heartbeatTo(c, at(400*time.Millisecond), newer, 1)
	_, ok := c.heartbeat(at(500*time.Millisecond), engineapi.Heartbeat{Announcement: announcement("e1", 2), Sequence: 9})
	assert.Assert(t, !ok, "a heartbeat of the earlier incarnation must be refused")
	assert.Equal(t, c.endpoints["e1"].announced.Incarnation, fleet.Incarnation(2))
}

func TestMemoryIsBounded(t *testing.T) {
	c := homeOfOne(t, 1, testFaults{})
	c.grant(epoch, requestFor("x", epoch))
	for n := range 3 * maxQueue {
		a := requestFor(fmt.Sprint("q", n), epoch)
		a.maxWait = maxWait * 100
		a.team = fleet.Team(fmt.Sprint("team", n%7))
		c.grant(epoch, a)
	}
	r := c.endpoints["e1"]
	assert.Equal(t, r.queue.size, maxQueue)
	for n := range 2 * maxEndpoints {
		c.announce(epoch, announcement(fmt.Sprint("f", n), 1))
	}
	assert.Equal(t, len(c.endpoints), maxEndpoints)
}
