package control

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Snapshot implements replica.StateMachine. It returns a gzipped
// pb.MachineState.
func (m *Machine) Snapshot() ([]byte, error) {
	encoded, err := proto.Marshal(m.machineState())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

func (m *Machine) machineState() *pb.MachineState {
	m.mu.RLock()
	defer m.mu.RUnlock()
	state := m.fleetState()
	state.Subtrees = m.sortedDocuments(true)
	s := &pb.MachineState{
		AppliedIndex:    m.appliedIndex,
		ClockUnixMs:     m.clockUnixMs,
		State:           state,
		History:         append([]*pb.SubtreeDocument{}, m.history.documents...),
		Answers:         append([]*pb.AnsweredChange{}, m.changeResults.order...),
		Seen:            m.sortedSeenIncarnations(),
		Orders:          append([]*pb.OrderRecord{}, m.orders.oldestFirst...),
		Crashes:         append([]*pb.CrashRecord{}, m.suspects.crashOrder...),
		EpochFloor:      m.epochFloor,
		LoadSlotsUnixMs: append([]int64{}, m.orders.loadSlots...),
	}
	for _, class := range sortedKeys(m.zoneClasses.retiredUnixMs) {
		s.Retired = append(s.Retired, &pb.RetiredClass{ZoneClass: class, UnixMs: m.zoneClasses.retiredUnixMs[class]})
	}
	return s
}

// Restore implements replica.StateMachine. On an error the state is unchanged.
func (m *Machine) Restore(index uint64, data []byte) error {
	state, err := decodeState(data)
	if err != nil {
		return trace.Wrap(err, "snapshot at %d", index)
	}
	next := NewMachine(MachineOptions{Check: m.check, Build: m.build})
	if err := next.loadState(index, state); err != nil {
		return trace.Wrap(err, "snapshot at %d", index)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replaceWith(next)
	m.notifyChanged()
	return nil
}

func decodeState(data []byte) (*pb.MachineState, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(encoded) > maxSnapshotBytes {
		return nil, trace.LimitExceeded("state is larger than %d bytes", maxSnapshotBytes)
	}
	var state pb.MachineState
	if err := proto.Unmarshal(encoded, &state); err != nil {
		return nil, trace.Wrap(err)
	}
	return &state, nil
}

func (m *Machine) loadState(index uint64, s *pb.MachineState) error {
	state := s.GetState()
	var documents []*pb.SubtreeDocument
	for _, d := range state.GetSubtrees() {
		m.documents[d.Name] = d
		m.treeBytes += len(d.Yaml)
		if len(d.Yaml) > 0 {
			documents = append(documents, d)
		}
	}
	tree, err := m.build(documents, state.GetIndex())
	if err != nil {
		return trace.Wrap(err)
	}
	m.tree = tree
	m.appliedIndex, m.effectIndex = index, state.GetIndex()
	m.clockUnixMs, m.viewNumber, m.epochFloor = s.GetClockUnixMs(), state.GetViewNumber(), s.GetEpochFloor()
	m.loadTables(s)
	m.loadGroups(s)
	m.recentDeltas.afterIndex = m.effectIndex
	return nil
}

func (m *Machine) loadTables(s *pb.MachineState) {
	for _, d := range s.GetHistory() {
		m.history.add(d)
	}
	for _, a := range s.GetAnswers() {
		m.changeResults.add(a)
	}
	for _, i := range s.GetState().GetInstances() {
		m.instances[i.Id] = i
	}
	for _, r := range s.GetSeen() {
		m.seenIncarnations.add(r, m.instances)
	}
	for _, o := range s.GetOrders() {
		m.orders.add(o)
	}
	m.orders.loadSlots = append(m.orders.loadSlots, s.GetLoadSlotsUnixMs()...)
	for _, r := range s.GetState().GetSuspects() {
		if s, ok := suspectFromProto(r); ok {
			m.suspects.set(s)
		}
	}
	for _, c := range s.GetCrashes() {
		m.suspects.crashes[crashKey{c.EndpointId, c.EndpointIncarnation}] = c
		m.suspects.crashOrder = append(m.suspects.crashOrder, c)
	}
}

func (m *Machine) loadGroups(s *pb.MachineState) {
	m.zoneClasses.update(m.tree, m.clockUnixMs)
	for _, r := range s.GetRetired() {
		m.zoneClasses.retiredUnixMs[r.ZoneClass] = r.UnixMs
	}
	for _, f := range s.GetState().GetFormerClasses() {
		m.formerClasses.set(fleet.Team(f.Team), f.ZoneClass, f.ChangedUnixMs)
	}
	for _, g := range s.GetState().GetLedgerGroups() {
		m.groups[shardOf(g)] = g
	}
}

// replaceWith replaces the whole state by that of next.
func (m *Machine) replaceWith(next *Machine) {
	m.appliedIndex, m.effectIndex, m.clockUnixMs, m.viewNumber = next.appliedIndex, next.effectIndex, next.clockUnixMs, next.viewNumber
	m.tree, m.documents, m.treeBytes = next.tree, next.documents, next.treeBytes
	m.history, m.changeResults = next.history, next.changeResults
	m.instances, m.seenIncarnations = next.instances, next.seenIncarnations
	m.zoneClasses, m.formerClasses, m.groups, m.epochFloor = next.zoneClasses, next.formerClasses, next.groups, next.epochFloor
	m.orders, m.suspects, m.recentDeltas = next.orders, next.suspects, next.recentDeltas
}
