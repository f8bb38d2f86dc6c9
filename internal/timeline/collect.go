package timeline

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// Merged holds the events of all daemons that answered, in hybrid logical order.
type Merged struct {
	Events        []*pb.TimelineEvent `json:"events"`
	FailedQueries []FailedQuery       `json:"silent"` // daemons that did not answer
	// Dropped is how many events those daemons have overwritten.
	Dropped uint64 `json:"dropped"`
	// Sequences holds, for each daemon that answered, the last sequence seen;
	// a later Collect can continue from there.
	Sequences map[fleet.InstanceID]uint64 `json:"sequences"`
}

// FailedQuery is a daemon that did not answer, and why.
type FailedQuery struct {
	Instance fleet.InstanceID `json:"instance"`
	Cause    string           `json:"cause"`
}

// maxConcurrentQueries bounds the daemons queried at once, queryTimeout each query.
const (
	maxConcurrentQueries = 16
	queryTimeout         = 2 * time.Second
)

// Collect queries every instance and merges the results. after holds the last
// sequence seen from each instance; nil returns all events.
func Collect(ctx context.Context, dialer rpc.Dialer, instances []fleet.Instance, q *pb.TimelineQuery, after map[fleet.InstanceID]uint64) Merged {
	work := make(chan fleet.Instance)
	answers := make(chan queryResult, len(instances))
	var group sync.WaitGroup
	for range min(maxConcurrentQueries, len(instances)) {
		group.Go(func() {
			for instance := range work {
				answers <- queryInstance(ctx, dialer, instance, q, after[instance.ID])
			}
		})
	}
	for _, instance := range instances {
		work <- instance
	}
	close(work)
	group.Wait()
	close(answers)
	return merge(answers)
}

type queryResult struct {
	instance fleet.InstanceID
	page     *pb.TimelinePage
	err      error
}

func queryInstance(ctx context.Context, dialer rpc.Dialer, instance fleet.Instance, q *pb.TimelineQuery, after uint64) queryResult {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn, err := dialer.Conn(ctx, instance.RPCAddress)
	if err != nil {
		return queryResult{instance: instance.ID, err: trace.Wrap(err)}
	}
	page, err := pb.NewDRPCTimelineClient(conn).Query(ctx, &pb.TimelineQuery{
		RequestId:     q.GetRequestId(),
		EndpointId:    q.GetEndpointId(),
		Team:          q.GetTeam(),
		ChangeId:      q.GetChangeId(),
		SinceNs:       q.GetSinceNs(),
		Limit:         q.GetLimit(),
		AttemptIds:    q.GetAttemptIds(),
		AfterSequence: after,
	})
	return queryResult{instance: instance.ID, page: page, err: err}
}

func merge(answers <-chan queryResult) Merged {
	merged := Merged{Sequences: make(map[fleet.InstanceID]uint64)}
	for a := range answers {
		if a.err != nil {
			merged.FailedQueries = append(merged.FailedQueries, FailedQuery{Instance: a.instance, Cause: a.err.Error()})
			continue
		}
		merged.Events = append(merged.Events, a.page.GetEvents()...)
		merged.Dropped += a.page.GetDropped()
		merged.Sequences[a.instance] = a.page.GetLastSequence()
	}
	Sort(merged.Events)
	sort.Slice(merged.FailedQueries, func(a, b int) bool { return merged.FailedQueries[a].Instance < merged.FailedQueries[b].Instance })
	return merged
}

// Sort orders events by hybrid logical time, then by instance and sequence.
func Sort(events []*pb.TimelineEvent) {
	sort.SliceStable(events, func(a, b int) bool {
		left, right := events[a], events[b]
		ls := Stamp{Wall: left.GetWallNs(), Logical: left.GetLogical()}
		rs := Stamp{Wall: right.GetWallNs(), Logical: right.GetLogical()}
		if ls != rs {
			return ls.Before(rs)
		}
		if left.GetInstanceId() != right.GetInstanceId() {
			return left.GetInstanceId() < right.GetInstanceId()
		}
		return left.GetSequence() < right.GetSequence()
	})
}
