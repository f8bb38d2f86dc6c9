package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

const allZonesClass = "barasat+durgapur+howrah"

func (l *testLog) group(shard uint32) *pb.LedgerGroup {
	return l.machine.groups[fleet.LedgerShard{ZoneClass: allZonesClass, Shard: shard}]
}

// fleetWithEntries returns a fleet with n entries over the three zones, whose
// replicas are all ready.
func fleetWithEntries(t testing.TB, n int) *testLog {
	l := newFleet(t)
	for i := range n {
		assert.Equal(t, l.join(fmt.Sprint("e", i), 1, allZones[i%3]), "")
	}
	l.reportAllReady()
	return l
}

// reportAllReady reports each pending replica as ready.
func (l *testLog) reportAllReady() {
	for shard := range uint32(fleet.LedgerShards) {
		for _, r := range l.group(shard).Replicas {
			if !r.Ready {
				assert.Equal(l.t, l.reportReady(r, l.group(shard)), "")
			}
		}
	}
}

func fullyReplicated(g *pb.LedgerGroup) bool {
	return len(g.Replicas) == fleet.LedgerReplicas && len(readyReplicas(g.Replicas)) == fleet.LedgerReplicas
}

func TestGroupsSpreadOverZones(t *testing.T) {
	l := fleetWithEntries(t, 9)
	for shard := range uint32(fleet.LedgerShards) {
		g := l.group(shard)
		zones := map[string]bool{}
		for _, r := range g.Replicas {
			zones[l.machine.Instance(fleet.InstanceID(r.InstanceId)).AvailabilityZone] = true
		}
		assert.Equal(t, len(zones), 3)
		assert.Assert(t, fullyReplicated(g))
		assert.Equal(t, g.HistoryLostUnixMs, int64(0))
	}
}

func TestNewGroupIsReadyAtOnce(t *testing.T) {
	l := newLog(t)
	l.accept("fleet", 0, []byte(fleetYAML))
	for n := range 4 {
		l.join(fmt.Sprint("e", n), 1, allZones[n%3])
	}
	l.accept("teams/sorters", 0, teamYAML("sorters", allZones...))
	g := l.group(0)
	assert.Assert(t, fullyReplicated(g))
	assert.Equal(t, len(g.Sources), 0)
	assert.Equal(t, g.Epoch, uint64(1))
}

func TestJoinKeepsFullGroups(t *testing.T) {
	l := fleetWithEntries(t, 6)
	before := l.group(0)
	l.join("late", 1, "howrah")
	assert.Equal(t, l.group(0), before)
}

// A replica of a group fails, is replaced, and right after the repair another one
// fails. Each time the two survivors hold every decided record, so no history may
// be lost.
func TestSecondLossAfterRepairLosesNothing(t *testing.T) {
	l := fleetWithEntries(t, 6)
	for range 3 {
		g := l.group(0)
		lost := g.Replicas[0]
		l.expire(lost.InstanceId, lost.Incarnation)
		repaired := l.group(0)
		assert.Equal(t, repaired.Epoch, g.Epoch+1)
		assert.Equal(t, len(readyReplicas(repaired.Replicas)), 2)
		assert.Equal(t, len(repaired.Sources), 3)
		l.reportAllReady()
		assert.Assert(t, fullyReplicated(l.group(0)))
		assert.Equal(t, l.group(0).Epoch, repaired.Epoch)
		assert.Equal(t, l.group(0).HistoryLostUnixMs, int64(0))
	}
}

// Two replicas of a group fail before a replacement has copied their records. A
// decided record may be on no surviving replica, so the group must be marked with
// lost history.
func TestTwoReplicasLostAtOnceSetHistoryLost(t *testing.T) {
	l := fleetWithEntries(t, 6)
	g := l.group(0)
	l.expire(g.Replicas[0].InstanceId, 1)
	l.clockMs = 2_000_000
	l.expire(g.Replicas[1].InstanceId, 1)
	lost := l.group(0)
	assert.Equal(t, lost.HistoryLostUnixMs, l.clockMs)
	assert.Assert(t, fullyReplicated(lost))
}

// A replica finishes copying, but reports an epoch that is no longer current. The
// report must be ignored, because records decided since may be missing from the
// copy.
func TestReadyOfAnOlderEpochIsDropped(t *testing.T) {
	l := fleetWithEntries(t, 9)
	l.expire(l.group(0).Replicas[0].InstanceId, 1)
	older := l.group(0)
	copying := older.Replicas[2]
	l.drain(older.Replicas[0].InstanceId) // not replaced yet: a replica is pending
	assert.Equal(t, l.group(0).Epoch, older.Epoch)
	stale := &pb.LedgerGroup{ZoneClass: allZonesClass, Epoch: older.Epoch - 1}
	l.reportReady(copying, stale)
	assert.Equal(t, l.group(0).Epoch, older.Epoch)
	assert.Assert(t, !l.group(0).Replicas[2].Ready)
	l.reportReady(copying, older)
	// All replicas are ready, so the draining one is replaced now and stays a source.
	next := l.group(0)
	assert.Equal(t, next.Epoch, older.Epoch+1)
	for _, r := range next.Replicas {
		assert.Assert(t, r.InstanceId != older.Replicas[0].InstanceId)
	}
	assert.Equal(t, next.Sources[0].InstanceId, older.Replicas[0].InstanceId)
}

// After a loss of history the group must stay marked for as long as the lost
// records would have lived, by the control group's clocks, and no longer.
func TestLostHistoryEnds(t *testing.T) {
	l := fleetWithEntries(t, 3)
	for _, id := range []string{"e0", "e1", "e2"} {
		l.expire(id, 1)
	}
	l.advance(defaultRecordLife.Milliseconds() + lostHistoryMarginMs)
	epoch := l.group(0).Epoch
	assert.Assert(t, l.group(0).HistoryLostUnixMs != 0)
	assert.Assert(t, !l.machine.HasExpiredRecords(l.clockMs))
	l.clockMs++
	assert.Assert(t, l.machine.HasExpiredRecords(l.clockMs))
	l.drain("nobody")
	assert.Equal(t, l.group(0).HistoryLostUnixMs, int64(0))
	assert.Equal(t, l.group(0).Epoch, epoch)
	assert.Equal(t, len(l.lastDelta().LedgerGroups), fleet.LedgerShards)
	assert.Assert(t, !l.machine.HasExpiredRecords(l.clockMs))
}

// In a class with two entries each replica holds every decided record, so
// restarts of one entry after the other must not lose history.
func TestTwoEntriesRestartInTurn(t *testing.T) {
	l := fleetWithEntries(t, 2)
	assert.Assert(t, l.group(0).Complete)
	for incarnation := uint64(2); incarnation < 5; incarnation++ {
		l.join("e0", incarnation, "howrah")
		l.reportAllReady()
		l.join("e1", incarnation, "barasat")
		l.reportAllReady()
	}
	assert.Equal(t, l.group(0).HistoryLostUnixMs, int64(0))
	assert.Equal(t, len(readyReplicas(l.group(0).Replicas)), 2)
}

// A team leaves a zone class and returns. The class' groups must be kept for two
// record lives; when they are created again, their epochs must be above the old
// ones.
func TestRetiredClassKeepsEpochsRising(t *testing.T) {
	l := fleetWithEntries(t, 3)
	l.accept("teams/sorters", 1, teamYAML("sorters", "howrah"))
	old := l.group(0)
	assert.Assert(t, old != nil)
	l.advance(formerClassRecordLives * defaultRecordLife.Milliseconds())
	assert.Assert(t, l.group(0) != nil)
	l.advance(1)
	assert.Assert(t, l.group(0) == nil)
	l.restoreFromSnapshot()
	l.accept("teams/sorters", 2, teamYAML("sorters", allZones...))
	assert.Assert(t, l.group(0).Epoch > old.Epoch)
}
