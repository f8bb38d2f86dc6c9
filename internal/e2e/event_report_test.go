package e2e_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// eventReport returns the time line of a request over all daemons, and the events of
// endpoints and views, for the message of a failed test.
func (f *testFleet) eventReport(request string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := f.operator.Timeline(ctx, &pb.TimelineQuery{Limit: 10_000})
	if err != nil {
		return err.Error()
	}
	var b strings.Builder
	for _, e := range reply.Events {
		if e.GetRequestId() == request || isEndpointOrViewEvent(timeline.Kind(e.GetKind())) {
			at := time.Unix(0, int64(e.GetWallNs())).Format("15:04:05.000")
			fmt.Fprintf(&b, "%s %s %s %.8s %s %s %s\n", at, e.GetInstanceId(), e.GetKind(), e.GetAttemptId(), e.GetEndpointId(), e.GetRequestId(), e.GetDetail())
		}
	}
	return b.String()
}

func isEndpointOrViewEvent(k timeline.Kind) bool {
	switch k {
	case timeline.KindEndpointJoin, timeline.KindEndpointLost, timeline.KindSuspect, timeline.KindQuarantined, timeline.KindViewChanged:
		return true
	}
	return false
}
