package catalog

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// addressIndex names the records of each address. It holds no more than the
// records tell, so that members that took a snapshot agree with those that
// applied every command. Without it each registration would look through all
// records, and a fleet that starts registers thousands at once.
type addressIndex map[string][]string // IDs by address

// move takes in that a record replaces another one of its ID, which may be nil.
func (a addressIndex) move(before, r *pb.EndpointRecord) {
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

// sorted gives the IDs at an address, in an order that all members share.
func (a addressIndex) sorted(address string) []string {
	ids := slices.Clone(a[address])
	slices.Sort(ids)
	return ids
}

func indexAddresses(records map[string]*pb.EndpointRecord) addressIndex {
	a := addressIndex{}
	for _, r := range records {
		a.move(nil, r)
	}
	return a
}
