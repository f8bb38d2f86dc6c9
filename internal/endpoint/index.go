package endpoint

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// maxCandidates bounds one answer: a choice looks at a random part of a large
// subset, at all of a small one.
const maxCandidates = 16

// indexKey names a group of endpoints that can do the same work.
type indexKey struct {
	kind    fleet.EndpointRole
	model   engineapi.ModelRef
	service string
}

// zoneRows are the endpoints of one group in one zone.
type zoneRows struct {
	zone fleet.AvailabilityZone
	rows []*row
}

// index is an immutable view of the followed endpoints.
type index struct {
	groups map[indexKey][]zoneRows
	byID   map[fleet.EndpointID]*row
}

func newIndex(rows map[fleet.EndpointID]*row) *index {
	x := &index{groups: make(map[indexKey][]zoneRows), byID: rows}
	for _, r := range rows {
		for _, key := range keysOf(r.fixed) {
			x.add(key, r)
		}
	}
	return x
}

func keysOf(c Candidate) []indexKey {
	if c.Role == fleet.RolePlain {
		return []indexKey{{kind: fleet.RolePlain, service: c.Service}}
	}
	var keys []indexKey
	for _, kind := range []fleet.EndpointRole{fleet.RolePrefill, fleet.RoleDecode} {
		if !c.Role.Takes(kind) {
			continue
		}
		for _, m := range c.Models {
			keys = append(keys, indexKey{kind: kind, model: m})
		}
	}
	return keys
}

func (x *index) add(key indexKey, r *row) {
	zones := x.groups[key]
	for n := range zones {
		if zones[n].zone == r.fixed.Zone {
			zones[n].rows = append(zones[n].rows, r)
			return
		}
	}
	x.groups[key] = append(zones, zoneRows{zone: r.fixed.Zone, rows: []*row{r}})
}

// candidates gives up to maxCandidates endpoints in permitted zones, from a
// random start in each zone, a like part of each.
func (x *index) candidates(now time.Time, q Query) []Candidate {
	zones := x.groups[indexKey{kind: q.Kind, model: q.Model, service: q.Service}]
	total := 0
	for n := range zones {
		if q.Permitted.Permits(zones[n].zone) {
			total += len(zones[n].rows)
		}
	}
	if total == 0 {
		return nil
	}
	list := make([]Candidate, min(total, maxCandidates))
	filled := 0
	for n := range zones {
		if q.Permitted.Permits(zones[n].zone) {
			filled += fillPart(now, zones[n].rows, total, list[filled:])
		}
	}
	return list[:filled]
}

// fillPart fills a zone's part of the answer and tells how many it wrote.
func fillPart(now time.Time, rows []*row, total int, into []Candidate) int {
	part := len(rows)
	if total > maxCandidates {
		part = (len(rows)*maxCandidates + total - 1) / total
	}
	start := rand.IntN(len(rows))
	filled := 0
	for n := 0; n < len(rows) && filled < min(part, len(into)); n++ {
		if rows[(start+n)%len(rows)].fill(now, &into[filled]) {
			filled++
		}
	}
	return filled
}
