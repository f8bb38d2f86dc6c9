package catalog

import (
	"cmp"
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// changeList holds which endpoint changed at which revision, oldest first. A
// reader that lacks a few changes is answered by its end alone: a scan of all
// records for each question would cost a member more than all else once there
// are thousands of endpoints and hundreds of entries.
type changeList struct{ list []change }

// change is one change of one endpoint; a later one of the same endpoint makes
// it stale.
type change struct {
	revision uint64
	id       string
}

// staleShare is how many times the records the list may be long before the
// stale ones are dropped.
const staleShare = 2

func (c *changeList) add(revision uint64, id string, records map[string]*pb.EndpointRecord) {
	c.list = append(c.list, change{revision: revision, id: id})
	if len(c.list) > staleShare*len(records)+staleShare {
		c.rebuild(records)
	}
}

func (c *changeList) rebuild(records map[string]*pb.EndpointRecord) {
	c.list = make([]change, 0, len(records))
	for _, r := range records {
		c.list = append(c.list, change{revision: r.Revision, id: r.Id})
	}
	slices.SortFunc(c.list, func(a, b change) int { return cmp.Compare(a.revision, b.revision) })
}

// since gives the records that changed after a revision, oldest change first,
// at most a number of them; more tells that there are others.
func (c *changeList) since(revision uint64, most int, records map[string]*pb.EndpointRecord) (list []*pb.EndpointRecord, more bool) {
	first, _ := slices.BinarySearchFunc(c.list, revision+1, func(a change, r uint64) int { return cmp.Compare(a.revision, r) })
	for _, changed := range c.list[first:] {
		r := records[changed.id]
		if r == nil || r.Revision != changed.revision {
			continue // changed again later, or forgotten
		}
		// Records of one command share its revision and go together.
		if len(list) >= most && r.Revision != list[len(list)-1].Revision {
			return list, true
		}
		list = append(list, r)
	}
	return list, false
}
