package endpointlimit

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxLimitServers bounds the limit servers of one endpoint. Each may have saved up a permit,
// and all of these may be used at once; a single server would be missing at each restart.
const maxLimitServers = 3

// LimitServers returns the addresses of an endpoint's limit servers among the members of the
// control group, by rendezvous hashing, highest hash first.
func LimitServers(members []string, e Endpoint) []string {
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
	return sorted[:min(len(sorted), maxLimitServers)]
}
