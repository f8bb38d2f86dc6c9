package control

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// EffectIndex returns the index of the last log entry that changed the shared
// state: a reader whose state is at this index is up to date.
func (m *Machine) EffectIndex() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.effectIndex
}

// Changed returns a channel that is closed at the next change of the shared state.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Tree returns the settings in force.
func (m *Machine) Tree() *settings.Tree {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tree
}

// Instance returns a live instance, or nil.
func (m *Machine) Instance(id fleet.InstanceID) *pb.InstanceRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.instances[string(id)]
}

// Owners returns the live processes, in no particular order.
func (m *Machine) Owners() []fleet.Owner {
	m.mu.RLock()
	defer m.mu.RUnlock()
	owners := make([]fleet.Owner, 0, len(m.instances))
	for _, i := range m.instances {
		owners = append(owners, fleet.Owner{Instance: fleet.InstanceID(i.Id), Incarnation: fleet.Incarnation(i.Incarnation)})
	}
	return owners
}

// Instances returns the view's number and the live instances, sorted by ID.
func (m *Machine) Instances() (view uint64, instances []*pb.InstanceRecord) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.viewNumber, m.sortedInstances()
}

// ViewNumber returns the number of the view, the set of live instances; it
// increases with each change.
func (m *Machine) ViewNumber() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.viewNumber
}

// Pull returns what follows index, or nil when nothing does: deltas, or the
// whole state for index 0 and for readers behind the oldest kept delta.
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

// Documents returns the documents that r asks for; see pb.GetSettingsRequest.
func (m *Machine) Documents(r *pb.GetSettingsRequest) []*pb.SubtreeDocument {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if r.GetName() == "" {
		return m.sortedDocuments(false)
	}
	current := m.documents[r.Name]
	if r.GetHistory() {
		found := m.history.versions(r.Name)
		if current != nil {
			found = append(found, current)
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
