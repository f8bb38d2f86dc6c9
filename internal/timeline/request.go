package timeline

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// maxAttempts bounds how many attempts of one request are queried.
const maxAttempts = 64

// CollectRequest collects the events of one request from all processes. Only the
// entry records the request's ID; endpoint homes and ledger replicas record the
// IDs of its attempts, which are queried in a second round.
func CollectRequest(ctx context.Context, dialer rpc.Dialer, instances []fleet.Instance, q *pb.TimelineQuery) Merged {
	byRequest := Collect(ctx, dialer, instances, q, nil)
	attempts := attemptsOf(byRequest.Events)
	if len(attempts) == 0 {
		return byRequest
	}
	byAttempt := Collect(ctx, dialer, instances, &pb.TimelineQuery{
		AttemptIds: attempts,
		SinceNs:    q.GetSinceNs(),
		Limit:      q.GetLimit(),
	}, nil)
	byRequest.Events = union(byRequest.Events, byAttempt.Events)
	return byRequest
}

func attemptsOf(events []*pb.TimelineEvent) []string {
	known := make(map[string]struct{})
	var attempts []string
	for _, e := range events {
		id := e.GetAttemptId()
		if _, seen := known[id]; seen || id == "" || len(attempts) == maxAttempts {
			continue
		}
		known[id] = struct{}{}
		attempts = append(attempts, id)
	}
	return attempts
}

// eventKey identifies an event among those of all processes.
type eventKey struct {
	instance    string
	incarnation uint64
	sequence    uint64
}

func keyOf(e *pb.TimelineEvent) eventKey {
	return eventKey{instance: e.GetInstanceId(), incarnation: e.GetIncarnation(), sequence: e.GetSequence()}
}

func union(all ...[]*pb.TimelineEvent) []*pb.TimelineEvent {
	known := make(map[eventKey]struct{})
	var events []*pb.TimelineEvent
	for _, list := range all {
		for _, e := range list {
			if _, seen := known[keyOf(e)]; seen {
				continue
			}
			known[keyOf(e)] = struct{}{}
			events = append(events, e)
		}
	}
	Sort(events)
	return events
}
