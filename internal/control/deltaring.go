package control

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// deltaRing keeps the newest deltas, bounded in count and bytes. It is not part
// of snapshots: a reader behind afterIndex gets the whole state.
type deltaRing struct {
	deltas     []*pb.Delta
	sizes      []int
	bytes      int
	afterIndex uint64 // the deltas cover (floor, last index]
}

func newDeltaRing() *deltaRing { return &deltaRing{} }

// add appends the delta that follows the one at index previous.
func (r *deltaRing) add(d *pb.Delta, previous uint64) {
	if len(r.deltas) == 0 {
		r.afterIndex = previous
	}
	size := proto.Size(d)
	r.deltas = append(r.deltas, d)
	r.sizes = append(r.sizes, size)
	r.bytes += size
	for len(r.deltas) > maxRecentDeltas || (r.bytes > maxRecentDeltaBytes && len(r.deltas) > 1) {
		r.afterIndex = r.deltas[0].Index
		r.bytes -= r.sizes[0]
		r.deltas = r.deltas[1:]
		r.sizes = r.sizes[1:]
	}
}

// after returns the deltas above index, as many as fit in one reply but at least
// one. ok is false when some are no longer kept.
func (r *deltaRing) after(index uint64) (deltas []*pb.Delta, ok bool) {
	if index < r.afterIndex || len(r.deltas) == 0 {
		return nil, false
	}
	first := sort.Search(len(r.deltas), func(n int) bool { return r.deltas[n].Index > index })
	last := first
	size := 0
	for last < len(r.deltas) && (last == first || size+r.sizes[last] <= maxPullBytes) {
		size += r.sizes[last]
		last++
	}
	return r.deltas[first:last:last], true
}
