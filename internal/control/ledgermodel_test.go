package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// ledgerModel runs the replicas of one shard against the Machine's groups:
// coordinators with stale views decide records, expired replicas still answer,
// copies are interrupted, instances fail and return.
type ledgerModel struct {
	log             *testLog
	random          *rand.Rand
	versions        []*pb.LedgerGroup // each form of the group, oldest first
	replicas        map[fleet.Owner]*modelReplica
	owners          []fleet.Owner // keys of replicas, in the order in which they were added
	records         []*modelRecord
	lastIncarnation uint64 // incarnations
	reads           int
	decided         int
}

type modelReplica struct {
	sealedEpoch  uint64
	versionIndex int // into versions
	records      map[*modelRecord]bool
	copiedFrom   map[fleet.Owner]bool
	copyEpoch    uint64 // epoch of copied
}

type modelRecord struct {
	viewedGroup    *pb.LedgerGroup // its coordinator's view
	acceptedBy     map[fleet.Owner]bool
	decided        bool
	reportedAbsent bool // a reader found that it was never decided
}

func modelOwner(r *pb.LedgerReplica) fleet.Owner {
	return fleet.Owner{Instance: fleet.InstanceID(r.InstanceId), Incarnation: fleet.Incarnation(r.Incarnation)}
}

func (m *ledgerModel) latestVersion() *pb.LedgerGroup { return m.versions[len(m.versions)-1] }

func (m *ledgerModel) recordVersion() {
	g := m.log.group(0)
	if len(m.versions) == 0 || !proto.Equal(m.latestVersion(), g) {
		m.versions = append(m.versions, g)
	}
	for _, r := range g.Replicas {
		if m.replicas[modelOwner(r)] == nil {
			m.owners = append(m.owners, modelOwner(r))
			m.replicas[modelOwner(r)] = &modelReplica{versionIndex: len(m.versions) - 1, records: map[*modelRecord]bool{}}
		}
	}
}

// serves reports whether the replica answers for epoch: it is ready in its own
// view of that epoch, and no copy of a later epoch has sealed it.
func (m *ledgerModel) serves(o fleet.Owner, epoch uint64) bool {
	r := m.replicas[o]
	g := m.versions[r.versionIndex]
	if g.Epoch != epoch || r.sealedEpoch > epoch {
		return false
	}
	return slices.ContainsFunc(g.Replicas, func(p *pb.LedgerReplica) bool { return modelOwner(p) == o && p.Ready })
}

func (m *ledgerModel) recentVersion() *pb.LedgerGroup {
	back := min(m.random.IntN(4), len(m.versions)-1)
	return m.versions[len(m.versions)-1-back]
}

func (m *ledgerModel) shuffled(replicas []*pb.LedgerReplica) []fleet.Owner {
	var owners []fleet.Owner
	for _, n := range m.random.Perm(len(replicas)) {
		owners = append(owners, modelOwner(replicas[n]))
	}
	return owners
}

func (m *ledgerModel) beginRecord() {
	g := m.recentVersion()
	if len(g.Replicas) > 0 {
		m.records = append(m.records, &modelRecord{viewedGroup: g, acceptedBy: map[fleet.Owner]bool{}})
	}
}

func (m *ledgerModel) acceptRecord() {
	if len(m.records) == 0 {
		return
	}
	r := m.records[len(m.records)-1-m.random.IntN(min(5, len(m.records)))]
	o := m.shuffled(r.viewedGroup.Replicas)[0]
	if !m.serves(o, r.viewedGroup.Epoch) {
		return
	}
	r.acceptedBy[o] = true
	m.replicas[o].records[r] = true
	if !r.decided && len(r.acceptedBy) > len(r.viewedGroup.Replicas)/2 {
		r.decided = true
		m.decided++
	}
}

// readMajority reads from a majority. It fails the test when a decided record is
// missing, or when a record was decided after an earlier reader found it absent.
func (m *ledgerModel) readMajority() {
	g := m.recentVersion()
	seen := map[*modelRecord]bool{}
	var answered []fleet.Owner
	for _, o := range m.shuffled(g.Replicas) {
		if len(answered) <= len(g.Replicas)/2 && m.serves(o, g.Epoch) {
			answered = append(answered, o)
			maps.Copy(seen, m.replicas[o].records)
		}
	}
	if len(answered) <= len(g.Replicas)/2 {
		return
	}
	m.reads++
	for _, r := range m.records {
		if seen[r] || m.lostSince(r.viewedGroup.Epoch, g) || r.viewedGroup.Epoch > g.Epoch {
			continue
		}
		if r.decided {
			for _, v := range m.versions {
				if v.Epoch >= r.viewedGroup.Epoch && v.Epoch <= g.Epoch {
					m.log.t.Log(v)
				}
			}
			m.log.t.Log(r.acceptedBy, answered)
			m.log.t.Fatalf("record decided at epoch %d is absent from a majority at epoch %d", r.viewedGroup.Epoch, g.Epoch)
		}
		if r.viewedGroup.Epoch < g.Epoch {
			r.reportedAbsent = true
		}
	}
	for _, r := range m.records {
		if r.reportedAbsent && r.decided && !m.lostSince(r.viewedGroup.Epoch, m.latestVersion()) {
			m.log.t.Fatalf("record of epoch %d was decided after a reader found it absent", r.viewedGroup.Epoch)
		}
	}
}

// lostSince reports whether history was lost after epoch, up to g: absent records
// then mean "unknown".
func (m *ledgerModel) lostSince(epoch uint64, g *pb.LedgerGroup) bool {
	for n := 1; n < len(m.versions); n++ {
		v := m.versions[n]
		if v.Epoch > epoch && v.Epoch <= g.Epoch && v.HistoryLostUnixMs != m.versions[n-1].HistoryLostUnixMs {
			return true
		}
	}
	return false
}

func (m *ledgerModel) advanceViews() {
	for _, o := range m.owners {
		r := m.replicas[o]
		if m.random.IntN(3) == 0 && r.versionIndex < len(m.versions)-1 {
			r.versionIndex++
		}
	}
}

// stepCopy makes one step of a pending replica's copy, by its own view, which may
// be stale.
func (m *ledgerModel) stepCopy() {
	for _, p := range m.latestVersion().Replicas {
		o := modelOwner(p)
		r := m.replicas[o]
		g := m.versions[r.versionIndex]
		if !pending(g, o) {
			continue
		}
		if r.copyEpoch != g.Epoch {
			r.copyEpoch, r.copiedFrom = g.Epoch, map[fleet.Owner]bool{}
		}
		source := m.shuffled(g.Sources)[0]
		from := m.replicas[source]
		if from.sealedEpoch > g.Epoch || m.versions[from.versionIndex].Epoch > g.Epoch || m.random.IntN(4) == 0 {
			continue
		}
		from.sealedEpoch = g.Epoch
		maps.Copy(r.records, from.records)
		r.copiedFrom[source] = true
		if len(r.copiedFrom) > len(g.Sources)/2 {
			m.log.reportReady(p, g)
			return
		}
	}
}

func pending(g *pb.LedgerGroup, o fleet.Owner) bool {
	return slices.ContainsFunc(g.Replicas, func(p *pb.LedgerReplica) bool { return modelOwner(p) == o && !p.Ready })
}

func (m *ledgerModel) disruptInstance() {
	n := m.random.IntN(5)
	id := fmt.Sprint("e", n)
	live := m.log.machine.Instance(fleet.InstanceID(id))
	m.log.clockMs++
	switch {
	case live == nil || m.random.IntN(3) == 0:
		m.lastIncarnation++
		m.log.join(id, m.lastIncarnation, allZones[n%3])
	case m.random.IntN(2) == 0:
		m.log.drain(id)
	default:
		m.log.expire(id, live.Incarnation)
	}
}

// A request's intent is decided by a majority; then instances fail, restart and
// drain in any order, copies are interrupted, coordinators use views up to three
// changes old, and expired replicas still answer. A reader that misses a decided
// intent would let the request run twice. Over many seeds no majority may miss
// one, unless the group is marked with lost history.
func TestLedgerGroupsKeepDecidedRecords(t *testing.T) {
	const seeds, steps = 80, 3000
	reads, decided, lost := 0, 0, 0
	for seed := range uint64(seeds) {
		m := &ledgerModel{log: newFleet(t), random: rand.New(rand.NewPCG(seed, 7)), replicas: map[fleet.Owner]*modelReplica{}}
		disruptionInterval := 40 + m.random.IntN(360) // in steps
		for step := range steps {
			m.recordVersion()
			if step%disruptionInterval == 0 || step < 5 {
				m.disruptInstance()
				continue
			}
			switch m.random.IntN(6) {
			case 0:
				m.beginRecord()
			case 1, 2:
				m.acceptRecord()
			case 3:
				m.readMajority()
			case 4:
				m.advanceViews()
			case 5:
				m.stepCopy()
			}
		}
		reads, decided = reads+m.reads, decided+m.decided
		if m.latestVersion().HistoryLostUnixMs != 0 {
			lost++
		}
	}
	t.Logf("%d majority reads, %d decided records, %d of %d seeds lost history", reads, decided, lost, seeds)
	if reads < 1000 || decided < 200 || lost == seeds {
		t.Fatal("too few reads or decided records, or every seed lost history")
	}
}
