package catalog

import "github.com/hyssopsail/hyssopsail/internal/pb"

// reportEntry takes in what an entry says of itself. An older incarnation of
// the same instance goes: an instance runs one at a time.
func (m *Machine) reportEntry(index uint64, r *pb.EntryRecord) bool {
	if !EntryChanges(m.entries[r.Id], r) {
		return false
	}
	for id, e := range m.entries {
		if e.Name == r.Name && id != r.Id {
			delete(m.entries, id)
		}
	}
	if r.Gone {
		delete(m.entries, r.Id)
		return true
	}
	if len(m.entries) >= MaxRecords {
		return false
	}
	r.Revision = index
	m.entries[r.Id] = r
	return true
}

// EntryChanges tells whether report r changes what is known of its entry.
func EntryChanges(known, r *pb.EntryRecord) bool {
	if r.Gone {
		return known != nil
	}
	return known == nil || known.Ready != r.Ready || known.Address != r.Address ||
		known.Zone != r.Zone || known.Region != r.Region || known.Name != r.Name
}
