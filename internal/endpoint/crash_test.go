package endpoint

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var (
	bad  = fleet.Fingerprint{1}
	good = fleet.Fingerprint{2}
)

// running is a home at which two requests run.
func running(t *testing.T, g guards) *core {
	c := soleHome(t, 4, g)
	for n, f := range []fleet.Fingerprint{bad, good} {
		a := askFor([]string{"x1", "x2"}[n], epoch)
		a.fingerprint = f
		c.grant(epoch, a)
	}
	c.drain()
	return c
}

// crashes plays on for ten seconds in which each probe fails.
func crashes(c *core, from time.Duration) []*pb.ReportCrash {
	var reports []*pb.ReportCrash
	for d := from; d < from+10*time.Second; d += 50 * time.Millisecond {
		c.tick(at(d))
		out := c.drain()
		reports = append(reports, out.crashes...)
		for _, p := range out.probes {
			c.probeFailed(at(d), p.ID, p.Incarnation)
		}
	}
	return reports
}

// A request crashes the engine that runs it, and its caller sends it again:
// only when each death is reported once, with all that ran, can it be told
// from the innocent ones beside it.
func TestCrashIsReportedOncePerIncarnation(t *testing.T) {
	for name, death := range map[string]func(c *core) (after time.Duration){
		"silence": func(*core) time.Duration { return 0 },
		"connections broke": func(c *core) time.Duration {
			giveBack(c, at(time.Second), "x1", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, bad)
			giveBack(c, at(time.Second), "x2", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, good)
			return time.Second
		},
		"one caller gave up as it died": func(c *core) time.Duration {
			giveBack(c, at(time.Second), "x1", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, bad)
			c.probeFailed(at(time.Second), "e1", 1)
			giveBack(c, at(time.Second), "x2", pb.ReleaseReason_RELEASE_REASON_CANCELLED, good)
			return time.Second
		},
		"restarted": func(c *core) time.Duration {
			again := announcement("e1", 4)
			again.Incarnation = 2
			beatCore(c, at(time.Second), again, 1)
			return time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := running(t, guards{})
			reports := crashes(c, death(c))
			assert.Equal(t, len(reports), 1)
			assert.Equal(t, reports[0].EndpointIncarnation, uint64(1))
			assert.Equal(t, len(reports[0].Fingerprints), 2)
		})
	}
}

// An engine that was taken for dead by mistake lives on, runs the same requests
// and goes silent again. One incarnation dies once: a second report would make
// two crashes of it.
func TestSecondSilenceOfAnIncarnation(t *testing.T) {
	c := running(t, guards{})
	assert.Equal(t, len(crashes(c, 0)), 1)
	// A request under way to it has the home keep a record; it speaks again.
	back := at(11 * time.Second)
	beatCore(c, back, announcement("e1", 4), 40)
	beatCore(c, back.Add(6*time.Second), announcement("e1", 4), 41)
	a := askFor("x3", back.Add(6*time.Second))
	a.fingerprint = bad
	got, _ := c.grant(back.Add(6*time.Second), a)
	assert.Equal(t, got.status, statusGranted)
	assert.Equal(t, len(crashes(c, 17*time.Second)), 0)
}

// A connection breaks though the engine lives: the probe is answered, the next
// heartbeat comes, nothing is a suspect.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	c := running(t, guards{})
	giveBack(c, at(time.Second), "x1", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, bad)
	out := c.drain()
	assert.Equal(t, len(out.probes), 1)
	beatCore(c, at(1300*time.Millisecond), announcement("e1", 4), 2)
	assert.Equal(t, len(c.endpoints["e1"].failed), 1)
	beatCore(c, at(1600*time.Millisecond), announcement("e1", 4), 3)
	assert.Equal(t, len(c.endpoints["e1"].failed), 0)
	assert.Equal(t, len(c.drain().crashes), 0)
}

// A home is frozen for some seconds. When it wakes all its engines seem silent
// and their requests would be suspects, though it was the home that slept; the
// probes of a host that was just thawed fail too.
func TestFrozenHomeReportsNoCrash(t *testing.T) {
	run := func(g guards) int {
		c := running(t, g)
		c.tick(at(100 * time.Millisecond))
		c.tick(at(8 * time.Second))
		for _, p := range c.drain().probes {
			c.probeFailed(at(8*time.Second), p.ID, p.Incarnation)
		}
		c.tick(at(8400 * time.Millisecond))
		return len(c.drain().crashes)
	}
	assert.Equal(t, run(guards{}), 0)
	assert.Equal(t, run(guards{noStallGuard: true}), 1, "the proof must fail without its guard")
}

// An engine that was taken for dead speaks again under the same incarnation.
// What was granted before must have ended before anything is granted anew.
func TestRevivedEndpointWaitsOutForgottenGrants(t *testing.T) {
	c := running(t, guards{})
	assert.Equal(t, len(crashes(c, 0)), 1)
	back := at(10 * time.Second)
	c.endpoints["e1"] = newRecord(back, announcement("e1", 4), back.Add(-time.Second))
	c.endpoints["e1"].crashAt = back
	c.crashed = map[fleet.EndpointID]fleet.Incarnation{}
	c.tick(back)
	beatCore(c, back, announcement("e1", 4), 40)
	assert.Equal(t, statusAt(c, back, "x9"), statusFull)
	beatCore(c, back.Add(2*time.Second), announcement("e1", 4), 41)
	assert.Equal(t, statusAt(c, back.Add(2*time.Second), "x9"), statusGranted)
}

// An engine's heartbeats stop reaching its home. While it answers the home's
// probe it isn't taken for dead; when it doesn't, the control group hears of
// it once, though its first two answers are lost.
func TestProbeDecides(t *testing.T) {
	for name, dead := range map[string]bool{"alive": false, "dead": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				self := instance("a", zoneNear)
				d := start(t, newFakeNet(t), self, viewOf(1, self))
				defer d.stop()
				lost := 2
				reports := 0
				d.home.options.Crash = func(context.Context, *pb.ReportCrash) error {
					if lost--; lost >= 0 {
						return errReplyLost
					}
					reports++
					return nil
				}
				a := announcement("e1", 4)
				d.engine.state, d.engine.dead = a, dead
				d.beat(a, 1)
				time.Sleep(2 * pollEvery)
				d.beat(a, 2)
				r := take("e1", "x", 0)
				r.Fingerprint = bad
				grant, _, err := d.client.Take(t.Context(), r)
				assert.NilError(t, err)
				assert.Assert(t, grant != nil)
				time.Sleep(4 * time.Second)
				synctest.Wait()
				assert.Equal(t, reports == 1, dead, "%d reports", reports)
			})
		})
	}
}
