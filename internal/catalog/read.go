package catalog

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Endpoint returns an endpoint's record, or nil if it is not known.
func (m *Machine) Endpoint(id string) *pb.EndpointRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[id]
}

// Entry returns an entry's record, or nil if it is not known.
func (m *Machine) Entry(id string) *pb.EntryRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries.records[id]
}

// ReadyEntries returns the entries that accept callers.
func (m *Machine) ReadyEntries() []*pb.EntryRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*pb.EntryRecord, 0, m.entries.ready)
	for _, e := range m.entries.records {
		if e.Ready {
			list = append(list, e)
		}
	}
	return list
}

// ReadyCount returns how many entries accept callers.
func (m *Machine) ReadyCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries.ready
}

// EntriesRevision returns a number that differs after each change of an entry's record.
func (m *Machine) EntriesRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries.revision
}

// AllPoolRetries reports whether each entry that may send leaves the pooled part of the
// retry budget's slack to the control instances.
func (m *Machine) AllPoolRetries() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries.unpooled == 0
}

// Senders returns how many entries may send to endpoints, or did so a moment ago: all
// with a record, including those that are gone or don't accept callers yet.
func (m *Machine) Senders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries.records)
}

// Delta contains the changes after a revision.
type Delta struct {
	Outline   *pb.Outline // of the document; nil if the reader has it
	Revision  uint64
	Endpoints []*pb.EndpointRecord
	More      bool // there are further changes after Revision
}

// maxDeltaRecords bounds the records of one Delta, some 80 KB: a reader without any
// records gets a large fleet in several Deltas, so that a slow member or link does not
// make it start over again and again.
const maxDeltaRecords = 512

// Since returns what a reader lacks that has a document version and a revision.
func (m *Machine) Since(version int64, revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Revision: m.revision}
	if m.document.Version() > version {
		d.Outline = m.document.Outline()
	}
	d.Endpoints, d.More = m.changes.since(revision, maxDeltaRecords, m.endpoints)
	if d.More {
		d.Revision = d.Endpoints[len(d.Endpoints)-1].Revision
	}
	return d
}

// EndpointsSince returns the records of endpoints that changed after a revision, oldest
// change first, and the newest revision. complete is false if a record that changed after
// the revision has been dropped.
func (m *Machine) EndpointsSince(revision uint64) (changed []*pb.EndpointRecord, newest uint64, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed, _ = m.changes.since(revision, len(m.endpoints), m.endpoints)
	return changed, m.revision, revision >= m.droppedRevision && revision <= m.revision
}

// Records returns the records of all endpoints and entries.
func (m *Machine) Records() ([]*pb.EndpointRecord, []*pb.EntryRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoints := make([]*pb.EndpointRecord, 0, len(m.endpoints))
	for _, e := range m.endpoints {
		endpoints = append(endpoints, e)
	}
	entries := make([]*pb.EntryRecord, 0, len(m.entries.records))
	for _, e := range m.entries.records {
		entries = append(entries, e)
	}
	return endpoints, entries
}

// Revision returns the newest revision, and a channel that is closed when it changes.
func (m *Machine) Revision() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.changed
}

// AwaitApplied returns once the command at index is applied here, or with an error when
// ctx ends.
func (m *Machine) AwaitApplied(ctx context.Context, index uint64) error {
	for {
		m.mu.Lock()
		applied, advanced := m.applied, m.advanced
		m.mu.Unlock()
		if applied >= index {
			return nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

// Applied returns the index of the newest command applied here.
func (m *Machine) Applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}
