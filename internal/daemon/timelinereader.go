package daemon

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// timelineReader merges the timelines of all instances of the view.
type timelineReader struct {
	base *base
}

func newTimelineReader(b *base) timelineReader { return timelineReader{base: b} }

func (r timelineReader) read(ctx context.Context, q *pb.TimelineQuery) (operator.TimelineReply, error) {
	view := r.base.agent.State().View
	instances := make([]fleet.Instance, 0, len(view.Instances))
	for _, instance := range view.Instances {
		instances = append(instances, instance)
	}
	merged := r.collect(ctx, instances, q)
	reply := operator.TimelineReply{Events: merged.Events, Dropped: merged.Dropped}
	for _, unreachable := range merged.FailedQueries {
		reply.Unreachable = append(reply.Unreachable, string(unreachable.Instance))
	}
	return reply, nil
}

func (r timelineReader) collect(ctx context.Context, instances []fleet.Instance, q *pb.TimelineQuery) timeline.Merged {
	if q.GetRequestId() != "" {
		return timeline.CollectRequest(ctx, r.base.pool, instances, q)
	}
	return timeline.Collect(ctx, r.base.pool, instances, q, nil)
}
