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
	suspect   = fleet.Fingerprint{1}
	bystander = fleet.Fingerprint{2}
)

// homeRunningTwo returns a home whose endpoint runs two requests.
func homeRunningTwo(t *testing.T, g testFaults) *core {
	c := homeOfOne(t, 4, g)
	for n, f := range []fleet.Fingerprint{suspect, bystander} {
		a := requestFor([]string{"x1", "x2"}[n], epoch)
		a.fingerprint = f
		c.grant(epoch, a)
	}
	c.takeEffects()
	return c
}

// crashReports simulates ten seconds in which each probe fails, and returns the
// crash reports.
func crashReports(c *core, from time.Duration) []*pb.ReportCrash {
	var reports []*pb.ReportCrash
	for d := from; d < from+10*time.Second; d += 50 * time.Millisecond {
		c.tick(at(d))
		out := c.takeEffects()
		reports = append(reports, out.crashes...)
		for _, p := range out.probes {
			c.probeFailed(at(d), p.ID, p.Incarnation)
		}
	}
	return reports
}

// A request crashes the engine that runs it, and its caller repeats it. It can
// be told from the requests beside it only if each crash is reported once, with
// everything that ran.
func TestCrashIsReportedOncePerIncarnation(t *testing.T) {
	for name, crash := range map[string]func(c *core) (after time.Duration){
		"silence": func(*core) time.Duration { return 0 },
		"connections broke": func(c *core) time.Duration {
			releaseSlot(c, at(time.Second), "x1", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, suspect)
			releaseSlot(c, at(time.Second), "x2", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, bystander)
			return time.Second
		},
		"one caller gave up as it died": func(c *core) time.Duration {
			releaseSlot(c, at(time.Second), "x1", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, suspect)
			c.probeFailed(at(time.Second), "e1", 1)
			releaseSlot(c, at(time.Second), "x2", pb.ReleaseReason_RELEASE_REASON_CANCELLED, bystander)
			return time.Second
		},
		"restarted": func(c *core) time.Duration {
			again := announcement("e1", 4)
			again.Incarnation = 2
			heartbeatTo(c, at(time.Second), again, 1)
			return time.Second
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := homeRunningTwo(t, testFaults{})
			reports := crashReports(c, crash(c))
			assert.Equal(t, len(reports), 1)
			assert.Equal(t, reports[0].EndpointIncarnation, uint64(1))
			assert.Equal(t, len(reports[0].Fingerprints), 2)
		})
	}
}

// An engine that was wrongly treated as crashed goes on running the same
// requests and becomes unreachable again. A second report of the same
// incarnation would count as a second crash.
func TestIncarnationIsReportedCrashedOnce(t *testing.T) {
	c := homeRunningTwo(t, testFaults{})
	assert.Equal(t, len(crashReports(c, 0)), 1)
	// A request on its way to the engine makes the home keep a record of it;
	// then its heartbeats arrive again.
	revivedAt := at(11 * time.Second)
	heartbeatTo(c, revivedAt, announcement("e1", 4), 40)
	heartbeatTo(c, revivedAt.Add(6*time.Second), announcement("e1", 4), 41)
	a := requestFor("x3", revivedAt.Add(6*time.Second))
	a.fingerprint = suspect
	got, _ := c.grant(revivedAt.Add(6*time.Second), a)
	assert.Equal(t, got.status, statusGranted)
	assert.Equal(t, len(crashReports(c, 17*time.Second)), 0)
}

// A connection breaks although the engine is alive: the probe is answered, the
// next heartbeat arrives, and no request becomes a suspect.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	c := homeRunningTwo(t, testFaults{})
	releaseSlot(c, at(time.Second), "x1", pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED, suspect)
	out := c.takeEffects()
	assert.Equal(t, len(out.probes), 1)
	heartbeatTo(c, at(1300*time.Millisecond), announcement("e1", 4), 2)
	assert.Equal(t, len(c.endpoints["e1"].failedFingerprints), 1)
	heartbeatTo(c, at(1600*time.Millisecond), announcement("e1", 4), 3)
	assert.Equal(t, len(c.endpoints["e1"].failedFingerprints), 0)
	assert.Equal(t, len(c.takeEffects().crashes), 0)
}

// A home is frozen for some seconds. When it resumes, all its engines seem
// silent and their requests would become suspects, although only the home was
// stalled. The probes of a host that has just resumed fail too.
func TestFrozenHomeReportsNoCrash(t *testing.T) {
	run := func(g testFaults) int {
		c := homeRunningTwo(t, g)
		c.tick(at(100 * time.Millisecond))
		c.tick(at(8 * time.Second))
		for _, p := range c.takeEffects().probes {
			c.probeFailed(at(8*time.Second), p.ID, p.Incarnation)
		}
		c.tick(at(8400 * time.Millisecond))
		return len(c.takeEffects().crashes)
	}
	assert.Equal(t, run(testFaults{}), 0)
	assert.Equal(t, run(testFaults{noStallGuard: true}), 1, "the test must fail without the protection")
}

// An engine that was treated as crashed sends heartbeats again under the same
// incarnation. Its earlier grants must have expired before new ones are issued.
func TestRevivedEndpointWaitsOutForgottenGrants(t *testing.T) {
	c := homeRunningTwo(t, testFaults{})
	assert.Equal(t, len(crashReports(c, 0)), 1)
	revivedAt := at(10 * time.Second)
	c.endpoints["e1"] = newRecord(revivedAt, announcement("e1", 4), revivedAt.Add(-time.Second))
	c.endpoints["e1"].crashReportAt = revivedAt
	c.crashed = map[fleet.EndpointID]fleet.Incarnation{}
	c.tick(revivedAt)
	heartbeatTo(c, revivedAt, announcement("e1", 4), 40)
	assert.Equal(t, statusAt(c, revivedAt, "x9"), statusFull)
	heartbeatTo(c, revivedAt.Add(2*time.Second), announcement("e1", 4), 41)
	assert.Equal(t, statusAt(c, revivedAt.Add(2*time.Second), "x9"), statusGranted)
}

// An engine's heartbeats stop reaching its home. While it answers the home's
// probe it does not count as crashed. When it doesn't, the control group gets
// one report, although its first two replies are lost.
func TestProbeDecidesWhetherEndpointCrashed(t *testing.T) {
	for name, dead := range map[string]bool{"alive": false, "dead": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				self := instance("a", zoneNear)
				d := startDaemon(t, newFakeNet(t), self, viewOf(1, self))
				defer d.stop()
				lost := 2
				reports := 0
				d.home.options.ReportCrash = func(context.Context, *pb.ReportCrash) error {
					if lost--; lost >= 0 {
						return errReplyLost
					}
					reports++
					return nil
				}
				a := announcement("e1", 4)
				d.engine.state, d.engine.dead = a, dead
				d.heartbeat(a, 1)
				time.Sleep(2 * minPollInterval)
				d.heartbeat(a, 2)
				r := grantRequest("e1", "x", 0)
				r.Fingerprint = suspect
				grant, _, err := d.client.Acquire(t.Context(), r)
				assert.NilError(t, err)
				assert.Assert(t, grant != nil)
				time.Sleep(4 * time.Second)
				synctest.Wait()
				assert.Equal(t, reports == 1, dead, "%d reports", reports)
			})
		})
	}
}
