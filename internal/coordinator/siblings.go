package coordinator

import (
	"context"
	"maps"
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

const (
	// maxSiblings is the maximum number of siblings that an entry is told of.
	maxSiblings = 8
	// maxZoneSiblings bounds those of its own zone: what cuts it off may cut off the zone.
	maxZoneSiblings = maxSiblings / 2
	// maxSiblingsScanned bounds the entries of a zone that are looked at for one answer.
	maxSiblingsScanned = 64
)

// Siblings implements pb.DRPCCoordinatorServer. It returns entries that reach endpoints:
// some of the zone of the one that asks, and some of other zones.
func (c *Coordinator) Siblings(_ context.Context, request *pb.SiblingsRequest) (*pb.SiblingsReply, error) {
	zones := c.addresses.zonesOf(c.options.Machine)
	return &pb.SiblingsReply{Addresses: siblingsOf(zones, request.Zone, request.Entry)}, nil
}

// siblingsOf returns the peer addresses of siblings of an entry. Entries that ask together get
// different ones, as each gets those that follow the hash of its own ID.
func siblingsOf(zones map[string][]*pb.EntryRecord, zone, entry string) []string {
	near := usableSiblings(zones[zone], entry, maxSiblings)
	list := slices.Clone(near[:min(len(near), maxZoneSiblings)])
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(zones)), func(name string) bool { return name == zone })
	if len(names) > 0 {
		share := (maxSiblings - len(list) + len(names) - 1) / len(names)
		for _, name := range names {
			list = append(list, usableSiblings(zones[name], entry, share)...)
		}
	}
	list = list[:min(len(list), maxSiblings)]
	rest := near[min(len(near), maxZoneSiblings):]
	return append(list, rest[:min(len(rest), maxSiblings-len(list))]...)
}

// usableSiblings returns the peer addresses of up to limit entries of one zone that reach
// endpoints.
func usableSiblings(entries []*pb.EntryRecord, entry string, limit int) []string {
	var list []string
	first := ringPosition(entries, entry)
	for n := 0; n < min(len(entries), maxSiblingsScanned) && len(list) < limit; n++ {
		sibling := entries[(first+n)%len(entries)]
		if isUsableSibling(sibling, entry) {
			list = append(list, sibling.PeerAddress)
		}
	}
	return list
}

func isUsableSibling(sibling *pb.EntryRecord, entry string) bool {
	return sibling.Id != entry && sibling.PeerAddress != "" && !sibling.CutOff
}
