package catalog

import "github.com/hyssopsail/hyssopsail/internal/pb"

// entryTable holds the records of entries with counts that each poll of an entry needs.
// Counting the records at each poll would cost a member the square of the entries.
type entryTable struct {
	records map[string]*pb.EntryRecord
	byName  map[string]map[string]bool // IDs by the name of the instance
	ready   int                        // entries that accept callers
	// unpooled is the number of entries that use their whole part of the retry budget's
	// slack themselves.
	unpooled int
	revision uint64 // number of changes so far
}

// newEntryTable returns a table with the given records whose revision is above after.
func newEntryTable(records []*pb.EntryRecord, after uint64) entryTable {
	t := entryTable{records: map[string]*pb.EntryRecord{}, byName: map[string]map[string]bool{}, revision: after + 1}
	for _, r := range records {
		t.put(r)
	}
	return t
}

// put stores a record in place of the one with the same ID.
func (t *entryTable) put(r *pb.EntryRecord) {
	t.remove(r.Id)
	t.records[r.Id] = r
	if t.byName[r.Name] == nil {
		t.byName[r.Name] = map[string]bool{}
	}
	t.byName[r.Name][r.Id] = true
	t.count(r, 1)
}

// remove removes a record if there is one with that ID.
func (t *entryTable) remove(id string) {
	t.revision++
	known := t.records[id]
	if known == nil {
		return
	}
	delete(t.records, id)
	delete(t.byName[known.Name], id)
	if len(t.byName[known.Name]) == 0 {
		delete(t.byName, known.Name)
	}
	t.count(known, -1)
}

func (t *entryTable) count(r *pb.EntryRecord, n int) {
	if r.Ready {
		t.ready += n
	}
	if !r.PoolsRetries {
		t.unpooled += n
	}
}
