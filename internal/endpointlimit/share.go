package endpointlimit

import "slices"

// Share is a limit server's share of an endpoint's limit.
type Share struct {
	Rank    int // of the limit server, from 0
	Servers int // number of limit servers
}

// The parameters of shares, in requests a second.
const (
	// undividedBelowPerSecond is the limit below which it isn't divided: each limit server
	// would save up a permit, and all of these would be used at once, with a long pause
	// after them.
	undividedBelowPerSecond = 1.0
	// minPerSecond is granted even if an endpoint accepts less: without any request no
	// entry would learn that the limit has ended.
	minPerSecond = 0.25
	// standbyPerSecond is granted by the second limit server of an undivided limit, since
	// the first one may be unreachable.
	standbyPerSecond = 0.02
)

// ShareOf returns the share of the member at address self; ok is false if it has none.
func ShareOf(self string, members []string, e Endpoint) (share Share, ok bool) {
	servers := LimitServers(members, e)
	rank := slices.Index(servers, self)
	return Share{Rank: rank, Servers: len(servers)}, rank >= 0
}

// perSecond returns the number of permits a second that the share of a limit earns.
func (s Share) perSecond(limit KnownLimit) float64 {
	if limit.PerSecond >= undividedBelowPerSecond {
		return limit.PerSecond / float64(s.Servers)
	}
	switch s.Rank {
	case 0:
		return max(limit.PerSecond, minPerSecond)
	case 1:
		return standbyPerSecond
	}
	return 0
}
