package catalog

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// reportEntry takes in what an entry says of itself. An older incarnation of
// the same instance goes: an instance runs one at a time. What is gone stays until it is
// forgotten, since endpoints may have seen its requests a moment ago.
func (m *Machine) reportEntry(index uint64, r *pb.EntryRecord) bool {
	if !EntryChanges(m.entries[r.Id], r) {
		return false
	}
	for id, e := range m.entries {
		if e.Name == r.Name && id != r.Id {
			m.dropEntry(index, e)
		}
	}
	if r.Gone {
		m.dropEntry(index, m.entries[r.Id])
		return true
	}
	if len(m.entries) >= MaxRecords {
		return false
	}
	r.Revision = index
	m.entries[r.Id] = r
	return true
}

// dropEntry notes that an entry takes no callers any more.
func (m *Machine) dropEntry(index uint64, e *pb.EntryRecord) {
	if e.Gone {
		return
	}
	gone := proto.Clone(e).(*pb.EntryRecord)
	gone.Ready, gone.Gone, gone.Revision = false, true, index
	m.entries[gone.Id] = gone
}

// expireEntry takes an entry that missed its heartbeats for gone, and forgets one that is
// gone already. It tells whether anything changed.
func (m *Machine) expireEntry(index uint64, expected *pb.Expected) bool {
	known := m.entries[expected.Id]
	if known == nil || known.Revision != expected.Revision {
		return false
	}
	if known.Gone {
		delete(m.entries, known.Id)
		return true
	}
	m.dropEntry(index, known)
	return true
}

// EntryChanges tells whether report r changes what is known of its entry.
func EntryChanges(known, r *pb.EntryRecord) bool {
	if r.Gone {
		return known != nil && !known.Gone
	}
	return known == nil || known.Gone || known.Ready != r.Ready || known.Address != r.Address ||
		known.Zone != r.Zone || known.Region != r.Region || known.Name != r.Name
}
