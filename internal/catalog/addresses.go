package catalog

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// addressIndex maps each address to the IDs of its records. It is derived from the
// records alone, so that members restored from a snapshot agree with those that applied
// every command. Without it each registration would scan all records, and a starting
// fleet registers thousands of endpoints at once.
type addressIndex map[string][]string // IDs by address

// update indexes a record that replaces before, which has the same ID and may be nil.
func (a addressIndex) update(before, r *pb.EndpointRecord) {
	if before != nil && before.Address == r.Address {
		return
	}
	a.remove(before)
	a[r.Address] = append(a[r.Address], r.Id)
}

func (a addressIndex) remove(r *pb.EndpointRecord) {
	if r == nil {
		return
	}
	rest := slices.DeleteFunc(a[r.Address], func(id string) bool { return id == r.Id })
	if len(rest) == 0 {
		delete(a, r.Address)
		return
	}
	a[r.Address] = rest
}

// sorted returns the IDs at an address in the same order at all members.
func (a addressIndex) sorted(address string) []string {
	ids := slices.Clone(a[address])
	slices.Sort(ids)
	return ids
}

func indexAddresses(records map[string]*pb.EndpointRecord) addressIndex {
	a := addressIndex{}
	for _, r := range records {
		a.update(nil, r)
	}
	return a
}
