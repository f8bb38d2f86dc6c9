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

// Merged is the events of all daemons that answered, in hybrid logical order.
type Merged struct {
	Events []*pb.TimelineEvent `json:"events"`
	Silent []Silent            `json:"silent"` // daemons that did not answer
	// Dropped is how many events the answering daemons have overwritten.
	Dropped uint64 `json:"dropped"`
	// Sequences holds, for each daemon that answered, the last sequence seen,
	// to go on from when following.
	Sequences map[fleet.InstanceID]uint64 `json:"sequences"`
}

// Silent is a daemon that did not answer, and why.
type Silent struct {
	Instance fleet.InstanceID `json:"instance"`
	Cause    string           `json:"cause"`
}

// collectors bounds the daemons asked at once; askTimeout bounds each answer.
const (
	collectors = 16
	askTimeout = 2 * time.Second
)

// Collect asks every instance of the view and merges the answers. after gives
// the last sequence seen from each instance, nil for all.
func Collect(ctx context.Context, dialer rpc.Dialer, instances []fleet.Instance, q *pb.TimelineQuery, after map[fleet.InstanceID]uint64) Merged {
	work := make(chan fleet.Instance)
	answers := make(chan answer, len(instances))
	var group sync.WaitGroup
	for range min(collectors, len(instances)) {
		group.Go(func() {
			for instance := range work {
				answers <- ask(ctx, dialer, instance, q, after[instance.ID])
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

type answer struct {
	instance fleet.InstanceID
	page     *pb.TimelinePage
	err      error
}

func ask(ctx context.Context, dialer rpc.Dialer, instance fleet.Instance, q *pb.TimelineQuery, after uint64) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := dialer.Conn(ctx, instance.RPCAddress)
	if err != nil {
		return answer{instance: instance.ID, err: trace.Wrap(err)}
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
	return answer{instance: instance.ID, page: page, err: err}
}

func merge(answers <-chan answer) Merged {
	merged := Merged{Sequences: make(map[fleet.InstanceID]uint64)}
	for a := range answers {
		if a.err != nil {
			merged.Silent = append(merged.Silent, Silent{Instance: a.instance, Cause: a.err.Error()})
			continue
		}
		merged.Events = append(merged.Events, a.page.GetEvents()...)
		merged.Dropped += a.page.GetDropped()
		merged.Sequences[a.instance] = a.page.GetLastSequence()
	}
	Sort(merged.Events)
	sort.Slice(merged.Silent, func(a, b int) bool { return merged.Silent[a].Instance < merged.Silent[b].Instance })
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
