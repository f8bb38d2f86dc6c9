package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// applyJoin adds an instance to the view. Its incarnation must be higher than
// any seen for its ID, so a process that was replaced or expired can't rejoin.
func (m *Machine) applyJoin(index uint64, i *pb.InstanceRecord) string {
	if !validInstance(i) {
		return refusalMalformed
	}
	live := m.instances[i.Id]
	if live.GetIncarnation() == i.Incarnation {
		return m.updateInstance(live, i)
	}
	if i.Incarnation <= m.seenIncarnations.highest(i.Id) {
		return refusalIncarnation
	}
	if live == nil && len(m.instances) >= maxInstances {
		return refusalFull
	}
	if live != nil {
		m.delta.Left = append(m.delta.Left, live)
	}
	m.instances[i.Id] = i
	m.seenIncarnations.add(&pb.SeenIncarnation{InstanceId: i.Id, Incarnation: i.Incarnation, Index: index}, m.instances)
	m.delta.Joined = append(m.delta.Joined, i)
	m.repairGroups()
	return ""
}

// updateInstance applies changed addresses. Draining stays once it is set, and a
// process can't change its zone, because its ledger shards would move with it.
func (m *Machine) updateInstance(live, updated *pb.InstanceRecord) string {
	if live.AvailabilityZone != updated.AvailabilityZone {
		return refusalMalformed
	}
	next := proto.Clone(updated).(*pb.InstanceRecord)
	next.Draining = live.Draining || updated.Draining
	if !sameInstance(live, next) {
		m.putInstance(next)
	}
	return ""
}

func (m *Machine) putInstance(next *pb.InstanceRecord) {
	m.instances[next.Id] = next
	m.delta.Joined = append(m.delta.Joined, next)
	m.repairGroups()
}

func (m *Machine) applyExpire(e *pb.ExpireInstance) string {
	live := m.instances[e.GetId()]
	if live == nil || live.Incarnation != e.GetIncarnation() {
		return refusalUnknown
	}
	delete(m.instances, live.Id)
	m.delta.Left = append(m.delta.Left, live)
	m.repairGroups()
	return ""
}

func (m *Machine) applyDrain(d *pb.DrainInstance) string {
	live := m.instances[d.GetId()]
	if live == nil || (d.GetIncarnation() != 0 && d.GetIncarnation() != live.Incarnation) {
		return refusalUnknown
	}
	if live.Draining {
		return ""
	}
	next := proto.Clone(live).(*pb.InstanceRecord)
	next.Draining = true
	m.putInstance(next)
	return ""
}
