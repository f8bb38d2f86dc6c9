package timeline

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// maxAttempts bounds how many attempts of one request are looked for.
const maxAttempts = 64

// CollectRequest is Collect for one request over all processes: the entry
// knows the request's ID, endpoint homes and ledger replicas only its
// attempts', so these are asked for in a second round.
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

// eventKey names an event over all processes.
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
	for _, some := range all {
		for _, e := range some {
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
