package streamorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// holdersPerEntry is at how many control instances the streams of one entry are recorded: two of
// them may be lost at once.
const holdersPerEntry = 3

// holdersOf returns the control instances that hold the streams of an entry, by rendezvous
// hashing: the loss of an instance moves only the streams of its own entries.
func holdersOf(entry string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(holderScore(entry, b), holderScore(entry, a)), cmp.Compare(a, b))
	})
	return ranked[:min(holdersPerEntry, len(ranked))]
}

func holderScore(entry, member string) uint64 { return xxhash.Sum64String(entry + "\x00" + member) }
