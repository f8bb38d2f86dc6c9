package catalog

import (
	"cmp"
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// tombstoneQueue lists the tombstones, oldest first. It finds the oldest one without a look
// at all records: thousands of endpoints leave within seconds when a service is replaced.
type tombstoneQueue []change // by revision and ID

// update queues a record that replaces before, which has the same ID and may be nil.
func (q *tombstoneQueue) update(before, r *pb.EndpointRecord) {
	if isTombstone(before) {
		q.remove(before)
	}
	if isTombstone(r) {
		added := changeOf(r)
		i, _ := slices.BinarySearchFunc(*q, added, compareChanges)
		*q = slices.Insert(*q, i, added)
	}
}

// remove removes a tombstone.
func (q *tombstoneQueue) remove(r *pb.EndpointRecord) {
	if i, found := slices.BinarySearchFunc(*q, changeOf(r), compareChanges); found {
		*q = slices.Delete(*q, i, i+1)
	}
}

// isTombstone reports whether a record, which may be nil, is of an endpoint that is gone.
func isTombstone(r *pb.EndpointRecord) bool {
	return r.GetState() == pb.EndpointState_ENDPOINT_STATE_GONE
}

func changeOf(r *pb.EndpointRecord) change { return change{revision: r.Revision, id: r.Id} }

func compareChanges(a, b change) int {
	return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
}

// queueTombstones returns the queue of the given records.
func queueTombstones(records map[string]*pb.EndpointRecord) tombstoneQueue {
	var q tombstoneQueue
	for _, r := range records {
		if isTombstone(r) {
			q = append(q, changeOf(r))
		}
	}
	slices.SortFunc(q, compareChanges)
	return q
}
