package coordinator

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// siblingZones returns a fleet with the given number of entries in each zone; cut names zones
// whose entries are all cut off.
func siblingZones(entries map[string]int, cut ...string) map[string][]*pb.EntryRecord {
	var all []*pb.EntryRecord
	for zone, count := range entries {
		for n := range count {
			name := fmt.Sprintf("%s-%d", zone, n)
			all = append(all, &pb.EntryRecord{
				Id: fmt.Sprintf("%08x", 2654435761*uint32(n+1)+uint32(len(zone))), Name: name, Zone: zone, Ready: true,
				PeerAddress: name + ":1", CutOff: slices.Contains(cut, zone),
			})
		}
	}
	return entriesByZone(all)
}

func TestSiblingsAreOfSeveralZones(t *testing.T) {
	zones := siblingZones(map[string]int{"a": 20, "b": 20, "c": 20})
	own := zones["a"][3]
	list := siblingsOf(zones, "a", own.Id)
	assert.Equal(t, len(list), maxSiblings)
	assert.Equal(t, countPrefix(list, "a-"), maxZoneSiblings)
	assert.Equal(t, countPrefix(list, "b-"), 2)
	assert.Equal(t, countPrefix(list, "c-"), 2)
	assert.Assert(t, !slices.Contains(list, own.PeerAddress))
}

// Guards against an entry that is told only of entries that are cut off as well: all of its
// zone are.
func TestSiblingsOfAZoneThatIsCutOff(t *testing.T) {
	list := siblingsOf(siblingZones(map[string]int{"a": 20, "b": 3}, "a"), "a", "0")
	assert.Equal(t, len(list), 3)
	assert.Equal(t, countPrefix(list, "b-"), 3)
}

func TestSiblingsOfOneZone(t *testing.T) {
	assert.Equal(t, len(siblingsOf(siblingZones(map[string]int{"a": 20}), "a", "0")), maxSiblings)
	assert.Equal(t, len(siblingsOf(siblingZones(map[string]int{"a": 3}), "b", "0")), 3)
	assert.Equal(t, len(siblingsOf(nil, "a", "0")), 0)
}

// Guards against one sibling that carries the calls of all entries that are cut off.
func TestSiblingsAreSpread(t *testing.T) {
	zones := siblingZones(map[string]int{"a": 100, "b": 100})
	told := map[string]int{}
	for _, e := range zones["a"] {
		for _, address := range siblingsOf(zones, "a", e.Id) {
			told[address]++
		}
	}
	most := 0
	for _, count := range told {
		most = max(most, count)
	}
	assert.Assert(t, len(told) > 100, "%d are told of", len(told))
	assert.Assert(t, most <= 6*maxSiblings, "one is told of to %d of 100", most)
}

func countPrefix(list []string, prefix string) int {
	count := 0
	for _, s := range list {
		if len(s) >= len(prefix) && s[:len(prefix)] == prefix {
			count++
		}
	}
	return count
}
