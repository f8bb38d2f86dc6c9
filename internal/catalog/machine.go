package catalog

import (
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// MaxRecords bounds the records of each kind, including tombstones. The oldest tombstones
// are dropped first; live records are never dropped.
const MaxRecords = 65536

// maxTombstones is how many tombstones are kept. A late heartbeat is at most seconds old;
// this many endpoints take hours to leave.
const maxTombstones = 4096

// Machine applies the commands of the log. It implements replica.StateMachine. Its
// readers may run concurrently and get immutable values.
type Machine struct {
	mu         sync.Mutex // guards all fields below; a leaf
	document   *blocks.Document
	previous   *blocks.Document // the one before document, for entries still downloading it
	endpoints  map[string]*pb.EndpointRecord
	entries    entryTable
	addresses  addressIndex // of endpoints
	changes    changeList
	tombstones tombstoneQueue
	revision   uint64
	// droppedRevision is the newest revision of a record that was dropped.
	droppedRevision uint64
	applied         uint64
	changed         chan struct{} // closed and replaced at each change of the revision
	advanced        chan struct{} // closed and replaced at each applied command
}

// NewMachine returns an empty state.
func NewMachine() *Machine {
	return &Machine{
		endpoints: map[string]*pb.EndpointRecord{},
		entries:   newEntryTable(nil, 0),
		addresses: addressIndex{},
		changed:   make(chan struct{}),
		advanced:  make(chan struct{}),
	}
}

// Apply implements replica.StateMachine. A command that can't be decoded changes nothing,
// on all members alike.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	decoded := &pb.CatalogCommand{}
	err := proto.Unmarshal(command, decoded)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && m.execute(index, decoded) {
		m.revision = index
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.applied = index
	close(m.advanced)
	m.advanced = make(chan struct{})
	return nil
}

// execute applies a command and reports whether it changed anything.
func (m *Machine) execute(index uint64, c *pb.CatalogCommand) bool {
	switch kind := c.Kind.(type) {
	case *pb.CatalogCommand_PutDocument:
		return m.putDocument(kind.PutDocument)
	case *pb.CatalogCommand_PutBlocks:
		return m.putBlocks(kind.PutBlocks)
	case *pb.CatalogCommand_ReportEndpoint:
		return m.reportEndpoint(index, kind.ReportEndpoint)
	case *pb.CatalogCommand_RetireEndpoint:
		return m.retireEndpoint(index, kind.RetireEndpoint)
	case *pb.CatalogCommand_ReportEntry:
		return m.reportEntry(index, kind.ReportEntry)
	case *pb.CatalogCommand_AssignStage:
		return m.assignStage(index, kind.AssignStage)
	case *pb.CatalogCommand_Reports:
		return m.applyReports(index, kind.Reports)
	case *pb.CatalogCommand_Expire:
		return m.expire(index, kind.Expire)
	}
	return false
}

// applyReports applies each report as if it had been committed by itself.
func (m *Machine) applyReports(index uint64, reports *pb.Reports) bool {
	changed := false
	for _, r := range reports.GetEndpoints() {
		changed = m.reportEndpoint(index, r) || changed
	}
	for _, r := range reports.GetEntries() {
		changed = m.reportEntry(index, r) || changed
	}
	return changed
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &pb.CatalogSnapshot{Revision: m.revision}
	if m.document != nil {
		s.Document, s.Outline = configDocument(m.document), m.document.Outline()
	}
	for _, e := range m.endpoints {
		s.Endpoints = append(s.Endpoints, e)
	}
	for _, e := range m.entries.records {
		s.Entries = append(s.Entries, e)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return data, trace.Wrap(err)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(index uint64, data []byte) error {
	s := &pb.CatalogSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return trace.Wrap(err)
	}
	document, err := restoreDocument(s)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.document, m.previous = document, nil
	m.endpoints = make(map[string]*pb.EndpointRecord, len(s.Endpoints))
	for _, e := range s.Endpoints {
		m.endpoints[e.Id] = e
	}
	m.entries = newEntryTable(s.Entries, m.entries.revision)
	m.addresses = indexAddresses(m.endpoints)
	m.changes.rebuild(m.endpoints)
	m.tombstones = queueTombstones(m.endpoints)
	m.revision, m.applied = s.Revision, index
	m.droppedRevision = s.Revision // the snapshot doesn't tell
	close(m.changed)
	m.changed = make(chan struct{})
	close(m.advanced)
	m.advanced = make(chan struct{})
	return nil
}
