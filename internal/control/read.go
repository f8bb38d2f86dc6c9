package control

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// EffectIndex is the index of the last entry that changed the shared state: a
// reader whose state is at this index is up to date.
func (m *Machine) EffectIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.effectIndex
}

// Changed gives a channel that is closed when the shared state next changes.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Tree gives the settings in force.
func (m *Machine) Tree() *settings.Tree {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tree
}

// Instance gives a live instance; nil when there is none.
func (m *Machine) Instance(id fleet.InstanceID) *pb.InstanceRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances[string(id)]
}

// Owners lists the live processes.
func (m *Machine) Owners() []fleet.Owner {
	m.mu.RLock()
	defer m.mu.RUnlock()
	owners := make([]fleet.Owner, 0, len(m.instances))
	for _, i := range m.instances {
		owners = append(owners, fleet.Owner{Instance: fleet.InstanceID(i.Id), Incarnation: fleet.Incarnation(i.Incarnation)})
	}
	return owners
}

// Instances lists the live instances, sorted by ID, with the view's number.
func (m *Machine) Instances() (view uint64, instances []*pb.InstanceRecord) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.viewNumber, m.sortedInstances()
}

// ViewNumber numbers the set of live instances; it rises at each change.
func (m *Machine) ViewNumber() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.viewNumber
}

// Pull gives what follows index, or nil when nothing does: deltas, or the
// whole state for index 0 and for readers behind the kept deltas.
func (m *Machine) Pull(index uint64) *pb.PullReply {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if index >= m.effectIndex {
		return nil
	}
	deltas, ok := m.recentDeltas.after(index)
	if index == 0 || !ok {
		return &pb.PullReply{Snapshot: m.fleetState(), ThroughIndex: m.effectIndex}
	}
	return &pb.PullReply{Deltas: deltas, ThroughIndex: deltas[len(deltas)-1].Index}
}

// Documents answers a read of settings: see pb.GetSettingsRequest.
func (m *Machine) Documents(r *pb.GetSettingsRequest) []*pb.SubtreeDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if r.GetName() == "" {
		return m.sortedDocuments(false)
	}
	now := m.documents[r.Name]
	if r.GetHistory() {
		found := m.history.versions(r.Name)
		if now != nil {
			found = append(found, now)
		}
		return found
	}
	if d := m.document(r.Name, r.GetVersion()); d != nil {
		return []*pb.SubtreeDocument{d}
	}
	return nil
}

func (m *Machine) fleetState() *pb.FleetState {
	return &pb.FleetState{
		Index:         m.effectIndex,
		ViewNumber:    m.viewNumber,
		Subtrees:      m.sortedDocuments(false),
		Instances:     m.sortedInstances(),
		LedgerGroups:  m.sortedGroups(),
		Suspects:      m.suspects.sorted(),
		FormerClasses: m.formerClasses.sorted(),
	}
}

func (m *Machine) sortedDocuments(removed bool) []*pb.SubtreeDocument {
	documents := make([]*pb.SubtreeDocument, 0, len(m.documents))
	for _, name := range sortedKeys(m.documents) {
		if d := m.documents[name]; removed || len(d.Yaml) > 0 {
			documents = append(documents, d)
		}
	}
	return documents
}

func (m *Machine) sortedInstances() []*pb.InstanceRecord {
	instances := make([]*pb.InstanceRecord, 0, len(m.instances))
	for _, id := range sortedKeys(m.instances) {
		instances = append(instances, m.instances[id])
	}
	return instances
}

func (m *Machine) sortedGroups() []*pb.LedgerGroup {
	groups := make([]*pb.LedgerGroup, 0, len(m.groups))
	for _, shard := range m.sortedShards() {
		groups = append(groups, m.groups[shard])
	}
	return groups
}

func (m *Machine) sortedSeenIncarnations() []*pb.SeenIncarnation {
	seen := make([]*pb.SeenIncarnation, 0, len(m.seenIncarnations.byID))
	for _, r := range m.seenIncarnations.byID {
		seen = append(seen, r)
	}
	sort.Slice(seen, func(a, b int) bool { return seen[a].InstanceId < seen[b].InstanceId })
	return seen
}
