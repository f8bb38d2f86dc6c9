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

// Snapshot implements replica.StateMachine: a gzipped pb.MachineState.
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
		AppliedIndex:    m.applied,
		ClockUnixMs:     m.clock,
		State:           state,
		History:         append([]*pb.SubtreeDocument{}, m.history.all...),
		Answers:         append([]*pb.AnsweredChange{}, m.answers.order...),
		Seen:            m.sortedSeen(),
		Orders:          append([]*pb.OrderRecord{}, m.orders.sequence...),
		Crashes:         append([]*pb.CrashRecord{}, m.suspects.order...),
		EpochFloor:      m.epochFloor,
		LoadSlotsUnixMs: append([]int64{}, m.orders.slots...),
	}
	for _, class := range sortedKeys(m.classes.retired) {
		s.Retired = append(s.Retired, &pb.RetiredClass{ZoneClass: class, UnixMs: m.classes.retired[class]})
	}
	return s
}

// Restore implements replica.StateMachine. On an error the state stays as it
// was.
func (m *Machine) Restore(index uint64, data []byte) error {
	state, err := decodeState(data)
	if err != nil {
		return trace.Wrap(err, "snapshot at %d", index)
	}
	next := NewMachine(MachineOptions{Check: m.check, Build: m.build})
	if err := next.load(index, state); err != nil {
		return trace.Wrap(err, "snapshot at %d", index)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.take(next)
	m.wake()
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

func (m *Machine) load(index uint64, s *pb.MachineState) error {
	state := s.GetState()
	var documents []*pb.SubtreeDocument
	for _, d := range state.GetSubtrees() {
		m.current[d.Name] = d
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
	m.applied, m.effect = index, state.GetIndex()
	m.clock, m.viewNumber, m.epochFloor = s.GetClockUnixMs(), state.GetViewNumber(), s.GetEpochFloor()
	m.loadTables(s)
	m.loadGroups(s)
	m.recent.floor = m.effect
	return nil
}

func (m *Machine) loadTables(s *pb.MachineState) {
	for _, d := range s.GetHistory() {
		m.history.add(d)
	}
	for _, a := range s.GetAnswers() {
		m.answers.add(a)
	}
	for _, i := range s.GetState().GetInstances() {
		m.instances[i.Id] = i
	}
	for _, r := range s.GetSeen() {
		m.seen.add(r, m.instances)
	}
	for _, o := range s.GetOrders() {
		m.orders.add(o)
	}
	m.orders.slots = append(m.orders.slots, s.GetLoadSlotsUnixMs()...)
	for _, r := range s.GetState().GetSuspects() {
		if s, ok := suspectFromProto(r); ok {
			m.suspects.put(s)
		}
	}
	for _, c := range s.GetCrashes() {
		m.suspects.crashes[crashKey{c.EndpointId, c.EndpointIncarnation}] = c
		m.suspects.order = append(m.suspects.order, c)
	}
}

func (m *Machine) loadGroups(s *pb.MachineState) {
	m.classes.update(m.tree, m.clock)
	for _, r := range s.GetRetired() {
		m.classes.retired[r.ZoneClass] = r.UnixMs
	}
	for _, f := range s.GetState().GetFormerClasses() {
		m.former.set(fleet.Team(f.Team), f.ZoneClass, f.ChangedUnixMs)
	}
	for _, g := range s.GetState().GetLedgerGroups() {
		m.groups[shardOf(g)] = g
	}
}

// take moves the whole state over from next.
func (m *Machine) take(next *Machine) {
	m.applied, m.effect, m.clock, m.viewNumber = next.applied, next.effect, next.clock, next.viewNumber
	m.tree, m.current, m.treeBytes = next.tree, next.current, next.treeBytes
	m.history, m.answers = next.history, next.answers
	m.instances, m.seen = next.instances, next.seen
	m.classes, m.former, m.groups, m.epochFloor = next.classes, next.former, next.groups, next.epochFloor
	m.orders, m.suspects, m.recent = next.orders, next.suspects, next.recent
}
