package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// RankInstances orders instances for key by rendezvous hashing, best first:
// those in prefer before the others, then by hash. Each process that sees the
// same instances gets the same order, and the loss of one moves only its keys.
func RankInstances(key string, prefer AvailabilityZone, instances []Instance) []Instance {
	type ranked struct {
		instance Instance
		near     bool
		score    uint64
	}
	rows := make([]ranked, len(instances))
	for n, i := range instances {
		rows[n] = ranked{instance: i, near: i.Zone == prefer, score: score(key, string(i.ID))}
	}
	sort.Slice(rows, func(a, b int) bool {
		if rows[a].near != rows[b].near {
			return rows[a].near
		}
		if rows[a].score != rows[b].score {
			return rows[a].score > rows[b].score
		}
		return rows[a].instance.ID < rows[b].instance.ID
	})
	out := make([]Instance, len(rows))
	for n, r := range rows {
		out[n] = r.instance
	}
	return out
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
	entries := make([]Instance, 0, len(view.Instances))
	for _, i := range view.Instances {
		if i.Entry && !i.Draining {
			entries = append(entries, i)
		}
	}
	if len(entries) == 0 {
		return Instance{}, false
	}
	return RankInstances(string(endpoint), zone, entries)[0], true
}
