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

// at gives a moment after epoch.
func at(d time.Duration) time.Time { return epoch.Add(d) }

// coreAt makes a core for self that is Current in view at now.
func coreAt(now time.Time, self fleet.Instance, view fleet.View, g guards) *core {
	c := newCore(now, self.Owner(), DefaultLimits(), 1)
	c.guards = g
	c.observe(now, view, true)
	return c
}

// emptyHome is a core that is home of all endpoints of its zone.
func emptyHome(g guards) *core {
	self := instance("a", zoneNear)
	return coreAt(epoch, self, viewOf(1, self, instance("owner", zoneFar)), g)
}

// soleHome is an emptyHome that has taken e1's first heartbeat.
func soleHome(t testing.TB, slots int, g guards) *core {
	t.Helper()
	c := emptyHome(g)
	beatCore(c, epoch, announcement("e1", slots), 1)
	return c
}

func beatCore(c *core, now time.Time, a engineapi.Announcement, sequence uint64, held ...engineapi.Held) []fleet.AttemptID {
	cancel, _ := c.heartbeat(now, engineapi.Heartbeat{Announcement: a, Sequence: sequence, Held: held})
	return cancel
}

func askFor(attempt string, now time.Time) *ask {
	return &ask{endpoint: "e1", kind: fleet.RoleDecode, attempt: fleet.AttemptID(attempt), team: "sorters",
		owner: instance("owner", zoneFar).Owner(), model: model.String(), expected: 100, share: 1, arrived: now}
}

func heldBy(attempt string, owner fleet.Owner) engineapi.Held {
	return engineapi.Held{Attempt: fleet.AttemptID(attempt), Owner: owner, Stage: engineapi.StageDecode}
}

func giveBack(c *core, now time.Time, attempt string, reason pb.ReleaseReason, print fleet.Fingerprint) answer {
	return c.release(now, releaseAsk{endpoint: "e1", key: holdKey{fleet.AttemptID(attempt), fleet.RoleDecode},
		owner: instance("owner", zoneFar).Owner(), reason: reason, fingerprint: print})
}

// finish gives back the slot of an attempt whose answer is complete.
func finish(c *core, now time.Time, attempt string) answer {
	return giveBack(c, now, attempt, pb.ReleaseReason_RELEASE_REASON_COMPLETED, fleet.Fingerprint{})
}

// statusAt is the answer to an attempt that asks at now and doesn't wait.
func statusAt(c *core, now time.Time, attempt string) pb.GrantStatus {
	got, _ := c.grant(now, askFor(attempt, now))
	return got.status
}

// onlyAnswer is the one answer that c gives to those who wait.
func onlyAnswer(t *testing.T, c *core) answer {
	t.Helper()
	answers := c.drain().answers
	assert.Equal(t, len(answers), 1)
	return answers[0].answer
}

func TestGrantAnswers(t *testing.T) {
	now := at(100 * time.Millisecond)
	for name, test := range map[string]struct {
		before func(c *core)
		change func(a *ask)
		want   pb.GrantStatus
	}{
		"free slot":         {want: statusGranted},
		"unknown endpoint":  {change: func(a *ask) { a.endpoint = "e9" }, want: pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT},
		"wrong kind":        {change: func(a *ask) { a.kind = fleet.RolePlain }, want: pb.GrantStatus_GRANT_STATUS_UNKNOWN_ENDPOINT},
		"no slot, no wait":  {before: func(c *core) { c.grant(now, askFor("y1", now)); c.grant(now, askFor("y2", now)) }, want: statusFull},
		"repeated":          {before: func(c *core) { c.grant(now, askFor("x", now)); c.grant(now, askFor("y", now)) }, want: statusGranted},
		"leases lost":       {before: func(c *core) { c.observe(now, c.view, false) }, want: pb.GrantStatus_GRANT_STATUS_NOT_HOME},
		"leaving":           {before: func(c *core) { c.leave("e1", 1) }, want: pb.GrantStatus_GRANT_STATUS_LEAVING},
		"leave of the past": {before: func(c *core) { c.leave("e1", 0) }, want: statusGranted},
		"endpoint counts more holds": {before: func(c *core) {
			beatCore(c, now, announcement("e1", 2), 2, heldBy("p", fleet.Owner{}), heldBy("q", fleet.Owner{}))
		}, want: statusFull},
		"other's attempt": {before: func(c *core) { c.grant(now, askFor("x", now)) }, change: func(a *ask) { a.owner.Incarnation = 9 }, want: statusFull},
		"view moved home": {before: func(c *core) { c.observe(now, viewOf(2, instance("owner", zoneNear)), true) }, want: pb.GrantStatus_GRANT_STATUS_NOT_HOME},
	} {
		t.Run(name, func(t *testing.T) {
			c := soleHome(t, 2, guards{})
			if test.before != nil {
				test.before(c)
			}
			a := askFor("x", now)
			if test.change != nil {
				test.change(a)
			}
			got, queued := c.grant(now, a)
			assert.Assert(t, queued == nil)
			assert.Equal(t, got.status, test.want)
		})
	}
}

// A request waits in the queue while its wait can be kept; it is granted when
// a slot is given back, and refused at once when the predicted wait is longer.
func TestQueue(t *testing.T) {
	c := soleHome(t, 1, guards{})
	c.grant(epoch, askFor("x1", epoch)) // 100 tokens of 20 ms: 2 s
	short := askFor("x2", epoch)
	short.wait = time.Second
	refusal, queued := c.grant(epoch, short)
	assert.Assert(t, queued == nil)
	assert.Equal(t, refusal.status, statusFull)
	assert.Equal(t, refusal.retryAfter, 2*time.Second)

	long := askFor("x3", epoch)
	long.wait = 3 * time.Second
	_, queued = c.grant(epoch, long)
	assert.Assert(t, queued != nil)
	finish(c, at(500*time.Millisecond), "x1")
	answered := onlyAnswer(t, c)
	assert.Equal(t, answered.status, statusGranted)
	assert.Equal(t, answered.queued, 500*time.Millisecond)
}

// A queued request whose wait can't be kept any more is refused before its
// patience is over, not at the end of it.
func TestQueueRefusesBeforeTheDeadline(t *testing.T) {
	c := soleHome(t, 1, guards{})
	c.grant(epoch, askFor("x1", epoch))
	a := askFor("x2", epoch)
	a.wait = 2100 * time.Millisecond
	_, queued := c.grant(epoch, a)
	assert.Assert(t, queued != nil)
	// x1 runs beyond its prediction; by now it is expected to double.
	now := epoch
	sequence := uint64(1)
	for len(c.out.answers) == 0 {
		now = now.Add(50 * time.Millisecond)
		sequence++
		beatCore(c, now, announcement("e1", 1), sequence, heldBy("x1", askFor("x1", epoch).owner))
		c.tick(now)
	}
	assert.Equal(t, c.out.answers[0].answer.status, statusFull)
	assert.Assert(t, now.Before(at(a.wait)), "refused at %v", now.Sub(epoch))
}

// With a lead, a slot is granted before it is free, to one request at a time
// for a small endpoint; the slots in use stay within bounds throughout.
func TestLead(t *testing.T) {
	c := soleHome(t, 1, guards{})
	c.grant(epoch, askFor("x1", epoch))
	a := askFor("x2", epoch)
	a.lead, a.wait = 500*time.Millisecond, 2*time.Second
	_, queued := c.grant(epoch, a)
	assert.Assert(t, queued != nil)
	running := heldBy("x1", a.owner)
	running.AgeMs = 1400
	beatCore(c, at(1400*time.Millisecond), announcement("e1", 1), 2, running)
	c.tick(at(1400 * time.Millisecond))
	assert.Equal(t, len(c.out.answers), 0)
	c.tick(at(1600 * time.Millisecond))
	answered := onlyAnswer(t, c)
	assert.Equal(t, answered.readyIn, 400*time.Millisecond)
	r := c.endpoints["e1"]
	assert.Equal(t, r.used(), 1)
	assert.Equal(t, len(r.promised()), 1)
	finish(c, at(1900*time.Millisecond), "x1")
	c.tick(at(1900 * time.Millisecond))
	assert.Equal(t, r.used(), 1)
	assert.Equal(t, len(r.promised()), 0)
}

// An endpoint is full and one of its requests is a suspect; a second suspect
// has to wait until the first has ended, though a slot is free.
func TestOneSuspectAtATime(t *testing.T) {
	c := soleHome(t, 3, guards{})
	first, second := askFor("x1", epoch), askFor("x2", epoch)
	first.alone, second.alone = true, true
	second.wait = time.Minute
	got, _ := c.grant(epoch, first)
	assert.Equal(t, got.status, statusGranted)
	_, queued := c.grant(epoch, second)
	assert.Assert(t, queued != nil)
	assert.Equal(t, statusAt(c, epoch, "x3"), statusGranted)
	finish(c, at(time.Second), "x1")
	answered := onlyAnswer(t, c)
	assert.Equal(t, answered.status, statusGranted)
}

// A request whose endpoint died is tried again alone, and fails ten seconds later
// with "the caller's patience is over". An endpoint of both roles gave it its
// decode slot, and then let its prefill wait until no suspect ran there.
func TestSuspectDoesNotWaitForItself(t *testing.T) {
	self := instance("a", zoneNear)
	c := coreAt(epoch, self, viewOf(1, self, instance("owner", zoneFar)), guards{})
	both := announcement("e1", 3)
	both.Role = fleet.RoleBoth
	beatCore(c, epoch, both, 1)
	decode := askFor("x1", epoch)
	decode.alone = true
	got, _ := c.grant(epoch, decode)
	assert.Equal(t, got.status, statusGranted)
	prefill := askFor("x1", epoch)
	prefill.alone, prefill.kind, prefill.wait = true, fleet.RolePrefill, time.Minute
	got, queued := c.grant(epoch, prefill)
	assert.Assert(t, queued == nil, "it waits for itself")
	assert.Equal(t, got.status, statusGranted)
}

// A caller's request is sent twice by the network; the copy arrives after the
// answer was given and the slot freed. Without a note of the release the copy
// takes a slot that nobody will use.
func TestLateCopyOfAGrantRequest(t *testing.T) {
	run := func(g guards) int {
		c := soleHome(t, 2, g)
		c.grant(epoch, askFor("x1", epoch))
		finish(c, at(time.Second), "x1")
		c.grant(at(1100*time.Millisecond), askFor("x1", at(1100*time.Millisecond)))
		return c.endpoints["e1"].used()
	}
	assert.Equal(t, run(guards{}), 0)
	assert.Equal(t, run(guards{noReleasedNote: true}), 1, "the proof must fail without its guard")
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	c := soleHome(t, 2, guards{})
	owner := askFor("x", epoch).owner
	beatCore(c, at(300*time.Millisecond), announcement("e1", 2), 3)
	beatCore(c, at(310*time.Millisecond), announcement("e1", 2), 2, heldBy("old", owner))
	assert.Equal(t, c.endpoints["e1"].used(), 0, "a late held list must not count")
	newer := announcement("e1", 2)
	newer.Incarnation = 2
	beatCore(c, at(400*time.Millisecond), newer, 1)
	_, ok := c.heartbeat(at(500*time.Millisecond), engineapi.Heartbeat{Announcement: announcement("e1", 2), Sequence: 9})
	assert.Assert(t, !ok, "a heartbeat of the earlier incarnation must be refused")
	assert.Equal(t, c.endpoints["e1"].announced.Incarnation, fleet.Incarnation(2))
}

func TestMemoryIsBounded(t *testing.T) {
	c := soleHome(t, 1, guards{})
	c.grant(epoch, askFor("x", epoch))
	for n := range 3 * maxQueue {
		a := askFor(fmt.Sprint("q", n), epoch)
		a.wait = maxWait * 100
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
