package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RankInstances orders instances for key by rendezvous hashing, best first:
// those in preferredZone precede the others, then by hash. All processes with the
// same instances compute the same order, and the loss of an instance moves only
// the keys for which that instance ranked first.
func RankInstances(key string, preferredZone AvailabilityZone, instances []Instance) []Instance {
	ranked := make([]rankedInstance, len(instances))
	for n, i := range instances {
		ranked[n] = rankInstance(key, preferredZone, i)
	}
	sort.Slice(ranked, func(a, b int) bool { return ranked[a].ranksBefore(ranked[b]) })
	out := make([]Instance, len(ranked))
	for n, r := range ranked {
		out[n] = r.instance
	}
	return out
}

// rankedInstance is an instance with its sort criteria for one key.
type rankedInstance struct {
	instance  Instance
	preferred bool
	score     uint64
}

func rankInstance(key string, preferredZone AvailabilityZone, i Instance) rankedInstance {
	return rankedInstance{instance: i, preferred: i.Zone == preferredZone, score: rendezvousScore(key, string(i.ID))}
}

func (r rankedInstance) ranksBefore(o rankedInstance) bool {
	if r.preferred != o.preferred {
		return r.preferred
	}
	if r.score != o.score {
		return r.score > o.score
	}
	return r.instance.ID < o.instance.ID
}

func rendezvousScore(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// HomeOf returns the home of an endpoint in zone: the first in the rendezvous
// order of the view's entries that aren't draining, which prefers the endpoint's
// zone. ok is false if there is no such entry.
func HomeOf(endpoint EndpointID, zone AvailabilityZone, view View) (home Instance, ok bool) {
	var best rankedInstance
	for _, i := range view.Instances {
		if !i.Entry || i.Draining {
			continue
		}
		r := rankInstance(string(endpoint), zone, i)
		if !ok || r.ranksBefore(best) {
			best, ok = r, true
		}
	}
	return best.instance, ok
}
