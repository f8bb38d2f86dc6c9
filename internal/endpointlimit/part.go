package endpointlimit

import "slices"

// Part is a keeper's part of an endpoint's limit.
type Part struct {
	Rank    int // of the keeper, from 0
	Keepers int
}

// The figures of parts.
const (
	// wholeBelow is the limit, requests a second, that isn't shared out: each keeper would
	// save up leave for a request, and all of it would be used in one moment, with a long
	// pause after it.
	wholeBelow = 1.0
	// leastPerSecond is given where an endpoint takes less: without any request nobody
	// would hear that its limit has ended.
	leastPerSecond = 0.25
	// sparePerSecond is given by another keeper where the limit isn't shared out, since
	// the first one may be gone.
	sparePerSecond = 0.02
)

// PartOf gives the part of the member at address self; ok is false where it has none.
func PartOf(self string, members []string, e Endpoint) (p Part, ok bool) {
	keepers := Keepers(members, e)
	rank := slices.Index(keepers, self)
	return Part{Rank: rank, Keepers: len(keepers)}, rank >= 0
}

// perSecond is what the part of a limit earns in a second.
func (p Part) perSecond(h Heard) float64 {
	if h.PerSecond >= wholeBelow {
		return h.PerSecond / float64(p.Keepers)
	}
	switch p.Rank {
	case 0:
		return max(h.PerSecond, leastPerSecond)
	case 1:
		return sparePerSecond
	}
	return 0
}
