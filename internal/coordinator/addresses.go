package coordinator

import (
	"cmp"
	"slices"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Bounds of the address lists that callers get.
const (
	// maxAddresses is the maximum length of a list.
	maxAddresses = 64
	// minAddresses is the minimum length of a list if that many entries are ready: a
	// caller that knows one entry only could not send anything while that entry is down.
	minAddresses = 2
)

// EntryAddresses returns the addresses to which a caller in the given zone connects: the
// entries of its zone and, if there are fewer than minAddresses, further entries, those
// of its region first. In a zone of more than maxAddresses entries, callers get different
// ones, so that all entries of the zone share the load; a caller gets the same again, so
// that it keeps its connections.
func (c *Coordinator) EntryAddresses(zone, region, caller string) []string {
	list := addressesOf(c.addresses.pick(c.options.Machine, zone, caller))
	if len(list) >= minAddresses {
		return list
	}
	return c.nearestAddresses(zone, region)
}

// nearestAddresses returns the addresses of the minAddresses nearest entries.
func (c *Coordinator) nearestAddresses(zone, region string) []string {
	entries := c.options.Machine.ReadyEntries()
	slices.SortFunc(entries, func(a, b *pb.EntryRecord) int {
		return cmp.Or(distance(a, zone, region)-distance(b, zone, region), strings.Compare(a.Id, b.Id))
	})
	return addressesOf(entries[:min(len(entries), minAddresses)])
}

func addressesOf(entries []*pb.EntryRecord) []string {
	list := make([]string, 0, len(entries))
	for _, e := range entries {
		list = append(list, e.Address)
	}
	return list
}

func distance(e *pb.EntryRecord, zone, region string) int {
	switch {
	case e.Zone == zone:
		return 0
	case e.Region == region:
		return 1
	}
	return 2
}
