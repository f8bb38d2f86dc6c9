package catalog

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// reportEntry applies an entry's report about itself and reports whether anything
// changed. Older incarnations of the same instance are marked as gone, as an instance
// runs one at a time. Gone entries stay until they expire, since endpoints may have
// received their requests a moment ago.
func (m *Machine) reportEntry(index uint64, r *pb.EntryRecord) bool {
	if !EntryChanges(m.entries.records[r.Id], r) {
		return false
	}
	for _, id := range slices.Sorted(maps.Keys(m.entries.byName[r.Name])) {
		if id != r.Id {
			m.markEntryGone(index, m.entries.records[id])
		}
	}
	if r.Gone {
		m.markEntryGone(index, m.entries.records[r.Id])
		return true
	}
	if len(m.entries.records) >= MaxRecords {
		return false
	}
	r.Revision = index
	m.entries.put(r)
	return true
}

// markEntryGone records that an entry accepts no more callers.
func (m *Machine) markEntryGone(index uint64, e *pb.EntryRecord) {
	if e.Gone {
		return
	}
	gone := proto.Clone(e).(*pb.EntryRecord)
	gone.Ready, gone.Gone, gone.Revision = false, true, index
	m.entries.put(gone)
}

// expireEntry marks an entry that missed its heartbeats as gone, or deletes one that is
// gone already. It reports whether anything changed.
func (m *Machine) expireEntry(index uint64, expected *pb.Expected) bool {
	known := m.entries.records[expected.Id]
	if known == nil || known.Revision != expected.Revision {
		return false
	}
	if known.Gone {
		m.entries.remove(known.Id)
		return true
	}
	m.markEntryGone(index, known)
	return true
}

// EntryChanges reports whether report r changes the known record of its entry.
func EntryChanges(known, r *pb.EntryRecord) bool {
	if r.Gone {
		return known != nil && !known.Gone
	}
	return known == nil || known.Gone || known.Ready != r.Ready || known.Address != r.Address ||
		known.Zone != r.Zone || known.Region != r.Region || known.Name != r.Name ||
		known.PeerAddress != r.PeerAddress || known.CutOff != r.CutOff
}
