package control

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func shardOf(g *pb.LedgerGroup) fleet.LedgerShard {
	return fleet.LedgerShard{ZoneClass: g.ZoneClass, Shard: g.Shard}
}

// repairGroups updates the replica sets after a change of the view.
func (m *Machine) repairGroups() {
	planner := m.newGroupPlanner()
	for _, shard := range m.sortedShards() {
		next, changed := planner.repair(m.groups[shard])
		if changed {
			m.setGroup(next)
		}
	}
}

func (m *Machine) sortedShards() []fleet.LedgerShard {
	shards := make([]fleet.LedgerShard, 0, len(m.groups))
	for s := range m.groups {
		shards = append(shards, s)
	}
	sort.Slice(shards, func(a, b int) bool {
		if shards[a].ZoneClass != shards[b].ZoneClass {
			return shards[a].ZoneClass < shards[b].ZoneClass
		}
		return shards[a].Shard < shards[b].Shard
	})
	return shards
}

func (m *Machine) setGroup(g *pb.LedgerGroup) {
	m.groups[shardOf(g)] = g
	m.addGroupToDelta(g)
}

// addGroupToDelta puts the group into the delta, in place of an earlier form.
func (m *Machine) addGroupToDelta(g *pb.LedgerGroup) {
	for n, added := range m.delta.LedgerGroups {
		if shardOf(added) == shardOf(g) {
			m.delta.LedgerGroups[n] = g
			return
		}
	}
	m.delta.LedgerGroups = append(m.delta.LedgerGroups, g)
}

// applyLedgerReady marks a replica that has copied its shards as ready. A report
// for an epoch other than the current one is ignored: that copy may lack records
// decided since.
func (m *Machine) applyLedgerReady(l *pb.LedgerReady) string {
	live := m.instances[l.GetInstanceId()]
	if live == nil || live.Incarnation != l.GetIncarnation() {
		return refusalUnknown
	}
	planner := m.newGroupPlanner()
	for _, s := range l.GetShards() {
		g := m.groups[fleet.LedgerShard{ZoneClass: s.GetZoneClass(), Shard: s.GetShard()}]
		if g == nil || g.Epoch != s.GetEpoch() {
			continue
		}
		next, changed := markReplicaReady(g, live)
		if !changed {
			continue
		}
		if repaired, again := planner.repair(next); again {
			next = repaired
		}
		m.setGroup(next)
	}
	return ""
}

func markReplicaReady(g *pb.LedgerGroup, i *pb.InstanceRecord) (next *pb.LedgerGroup, changed bool) {
	next = proto.Clone(g).(*pb.LedgerGroup)
	for _, r := range next.Replicas {
		if r.InstanceId == i.Id && r.Incarnation == i.Incarnation && !r.Ready {
			r.Ready = true
			changed = true
		}
	}
	next.Complete = next.Complete && len(readyReplicas(next.Replicas)) <= maxCompleteReplicas
	return next, changed
}
