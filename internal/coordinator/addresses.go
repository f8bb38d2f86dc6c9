package coordinator

import (
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
// of its region first.
func (c *Coordinator) EntryAddresses(zone, region string) []string {
	entries := c.options.Machine.ReadyEntries()
	slices.SortFunc(entries, func(a, b *pb.EntryRecord) int {
		if d := distance(a, zone, region) - distance(b, zone, region); d != 0 {
			return d
		}
		return strings.Compare(a.Id, b.Id)
	})
	var list []string
	for _, e := range entries {
		if len(list) >= maxAddresses || len(list) >= minAddresses && distance(e, zone, region) > 0 {
			break
		}
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
