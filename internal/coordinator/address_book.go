package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// addressBook lists the ready entries of each zone. It is rebuilt when an entry has changed
// rather than for each request: callers ask for addresses every few seconds, and their
// number grows with that of the entries. Its lock is held while the catalog, whose lock is a
// leaf, is read.
type addressBook struct {
	mu       sync.Mutex
	revision uint64                       // of the catalog's entries
	zones    map[string][]*pb.EntryRecord // by ID
}

// pick returns the ready entries of a zone that a caller gets, at most maxAddresses.
//
// Entries form a ring by their IDs, and a caller gets those that follow its own hash
// (consistent hashing): when an entry comes or goes, the lists of some callers change by
// one address.
func (b *addressBook) pick(machine *catalog.Machine, zone, caller string) []*pb.EntryRecord {
	entries := b.zonesOf(machine)[zone]
	if len(entries) <= maxAddresses {
		return entries
	}
	first := ringPosition(entries, caller)
	picked := make([]*pb.EntryRecord, 0, maxAddresses)
	for n := range maxAddresses {
		picked = append(picked, entries[(first+n)%len(entries)])
	}
	return picked
}

// ringPosition returns the index of the first entry after the hash of a key.
func ringPosition(entries []*pb.EntryRecord, key string) int {
	position := fmt.Sprintf("%016x", xxhash.Sum64String(key))
	first, _ := slices.BinarySearchFunc(entries, position, func(e *pb.EntryRecord, position string) int { return strings.Compare(e.Id, position) })
	return first
}

// zonesOf returns the ready entries of each zone, sorted by ID. The result must not be
// changed.
func (b *addressBook) zonesOf(machine *catalog.Machine) map[string][]*pb.EntryRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	revision := machine.EntriesRevision()
	if b.zones == nil || b.revision != revision {
		b.revision, b.zones = revision, entriesByZone(machine.ReadyEntries())
	}
	return b.zones
}

func entriesByZone(entries []*pb.EntryRecord) map[string][]*pb.EntryRecord {
	zones := map[string][]*pb.EntryRecord{}
	for _, e := range entries {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	for _, list := range zones {
		slices.SortFunc(list, func(a, b *pb.EntryRecord) int { return strings.Compare(a.Id, b.Id) })
	}
	return zones
}
