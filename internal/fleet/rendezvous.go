package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RankInstances orders instances for key by rendezvous hashing, best first:
// those in prefer before the others, then by hash. Each process that sees the
// same instances gets the same order, and the loss of one moves only its keys.
func RankInstances(key string, prefer AvailabilityZone, instances []Instance) []Instance {
	rows := make([]ranked, len(instances))
	for n, i := range instances {
		rows[n] = rank(key, prefer, i)
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].before(rows[b]) })
	out := make([]Instance, len(rows))
	for n, r := range rows {
		out[n] = r.instance
	}
	return out
}

// ranked is an instance's place in the order for one key.
type ranked struct {
	instance Instance
	near     bool
	score    uint64
}

func rank(key string, prefer AvailabilityZone, i Instance) ranked {
	return ranked{instance: i, near: i.Zone == prefer, score: score(key, string(i.ID))}
}

func (r ranked) before(o ranked) bool {
	if r.near != o.near {
		return r.near
	}
	if r.score != o.score {
		return r.score > o.score
	}
	return r.instance.ID < o.instance.ID
}

func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// HomeOf gives the instance that is home of an endpoint in zone, by
// rendezvous over the view's entries, preferring the endpoint's own zone. ok
// is false when the view has no entry.
func HomeOf(endpoint EndpointID, zone AvailabilityZone, view View) (home Instance, ok bool) {
	var best ranked
	for _, i := range view.Instances {
		if !i.Entry || i.Draining {
			continue
		}
		r := rank(string(endpoint), zone, i)
		if !ok || r.before(best) {
			best, ok = r, true
		}
	}
	return best.instance, ok
}
