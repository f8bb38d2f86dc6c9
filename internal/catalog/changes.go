package catalog

import (
	"cmp"
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// changeList records which endpoint changed at which revision, oldest first. A reader
// that lacks a few changes is served from the end of the list: scanning all records for
// each poll would be a member's largest cost with thousands of endpoints and hundreds of
// entries.
type changeList struct{ changes []change }

// change is one change of an endpoint; a later change of the same endpoint makes it
// stale.
type change struct {
	revision uint64
	id       string
}

// maxListRatio is how many times as long as the records the list may get before stale
// changes are dropped.
const maxListRatio = 2

func (c *changeList) add(revision uint64, id string, records map[string]*pb.EndpointRecord) {
	c.changes = append(c.changes, change{revision: revision, id: id})
	if len(c.changes) > maxListRatio*len(records)+maxListRatio {
		c.rebuild(records)
	}
}

func (c *changeList) rebuild(records map[string]*pb.EndpointRecord) {
	c.changes = make([]change, 0, len(records))
	for _, r := range records {
		c.changes = append(c.changes, change{revision: r.Revision, id: r.Id})
	}
	slices.SortFunc(c.changes, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
}

// since returns the records that changed after a revision, oldest change first, and
// whether there are more. It returns at most limit records, except that it never splits
// the records of one command.
func (c *changeList) since(revision uint64, limit int, records map[string]*pb.EndpointRecord) (list []*pb.EndpointRecord, more bool) {
	first, _ := slices.BinarySearchFunc(c.changes, revision+1, func(a change, r uint64) int { return cmp.Compare(a.revision, r) })
	for _, changed := range c.changes[first:] {
		r := records[changed.id]
		if r == nil || r.Revision != changed.revision {
			continue // changed again later, or deleted
		}
		// Records of one command share its revision and go together.
		if len(list) >= limit && r.Revision != list[len(list)-1].Revision {
			return list, true
		}
		list = append(list, r)
	}
	return list, false
}
