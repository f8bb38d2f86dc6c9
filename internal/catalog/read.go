package catalog

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Endpoint gives an endpoint's record, nil when it is not known.
func (m *Machine) Endpoint(id string) *pb.EndpointRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.endpoints[id]
}

// Entry gives an entry's record, nil when it is not known.
func (m *Machine) Entry(id string) *pb.EntryRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries[id]
}

// ReadyEntries lists the entries that take callers.
func (m *Machine) ReadyEntries() []*pb.EntryRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*pb.EntryRecord
	for _, e := range m.entries {
		if e.Ready {
			list = append(list, e)
		}
	}
	return list
}

// Senders counts the entries that may send to endpoints, or did so a moment ago: all
// that are not forgotten, those among them that are gone or don't take callers yet.
func (m *Machine) Senders() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// Delta is what changed after a revision.
type Delta struct {
	Outline   *pb.Outline // of the document; nil when not newer
	Revision  uint64
	Endpoints []*pb.EndpointRecord
	More      bool // further changes follow after Revision
}

// mostDelta bounds the records of one Delta, some 80 KB: a reader that has
// nothing yet gets a large fleet in parts, so that a slow member or link does
// not make it begin again and again.
const mostDelta = 512

// Since gives what a reader lacks that knows a document version and a revision.
func (m *Machine) Since(version int64, revision uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Revision: m.revision}
	if m.document.Version() > version {
		d.Outline = m.document.Outline()
	}
	d.Endpoints, d.More = m.changes.since(revision, mostDelta, m.endpoints)
	if d.More {
		d.Revision = d.Endpoints[len(d.Endpoints)-1].Revision
	}
	return d
}

// Records lists all endpoints and entries.
func (m *Machine) Records() ([]*pb.EndpointRecord, []*pb.EntryRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	endpoints := make([]*pb.EndpointRecord, 0, len(m.endpoints))
	for _, e := range m.endpoints {
		endpoints = append(endpoints, e)
	}
	entries := make([]*pb.EntryRecord, 0, len(m.entries))
	for _, e := range m.entries {
		entries = append(entries, e)
	}
	return endpoints, entries
}

// Revision gives the newest revision, and a channel that is closed when it
// changes.
func (m *Machine) Revision() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision, m.changed
}

// AwaitApplied returns once the command at index is applied here.
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

// Applied gives the index of the newest command applied here.
func (m *Machine) Applied() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}
