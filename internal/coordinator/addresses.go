package coordinator

import (
	"slices"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The lists that callers get.
const (
	// mostAddresses bounds a list.
	mostAddresses = 64
	// fewAddresses is the least number of entries in a list where there are
	// more: a caller whose only entry is down would have nowhere to go.
	fewAddresses = 2
)

// AddressesFor lists where a caller in a zone connects: the entries of its
// zone, and others where these are too few, of its region first.
func (c *Coordinator) AddressesFor(zone, region string) []string {
	entries := c.options.Machine.ReadyEntries()
	slices.SortFunc(entries, func(a, b *pb.EntryRecord) int {
		if d := distance(a, zone, region) - distance(b, zone, region); d != 0 {
			return d
		}
		return strings.Compare(a.Id, b.Id)
	})
	var list []string
	for _, e := range entries {
		if len(list) >= mostAddresses || len(list) >= fewAddresses && distance(e, zone, region) > 0 {
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
