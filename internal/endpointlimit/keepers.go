package endpointlimit

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// mostKeepers bounds the keepers of one endpoint. Each may give leave for one request that
// it has saved up, and all of these may come at once; one keeper would be missed each time
// that it is stopped.
const mostKeepers = 3

// Keepers are those of an endpoint among the members of the control group: the ones of the
// highest hash with it.
func Keepers(members []string, e Endpoint) []string {
	name := e.ID + "\x00" + strconv.FormatUint(e.Born, 10) + "\x00"
	sorted := slices.Clone(members)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	slices.SortStableFunc(sorted, func(a, b string) int {
		switch x, y := xxhash.Sum64String(name+a), xxhash.Sum64String(name+b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return sorted[:min(len(sorted), mostKeepers)]
}
