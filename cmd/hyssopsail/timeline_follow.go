package main

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The interval between queries, and how far each looks back for events whose
// timestamps are behind because of a daemon's slow clock.
const (
	followInterval = 500 * time.Millisecond
	followOverlap  = 5 * time.Second
)

// eventKey identifies an event across all daemons.
type eventKey struct {
	instance    string
	incarnation uint64
	sequence    uint64
}

// followEvents prints new events until the tool is interrupted.
func (c *timelineCommand) followEvents(client *operator.Client) error {
	c.seen = make(map[eventKey]struct{})
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		reply, err := client.Timeline(c.app.ctx, &c.query)
		if c.app.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		c.printNew(reply.Events)
		c.query.SinceNs = max(c.query.SinceNs, uint64(c.app.now().Add(-followOverlap).UnixNano()))
		select {
		case <-c.app.ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *timelineCommand) printNew(events []*pb.TimelineEvent) {
	shown := make(map[eventKey]struct{}, len(events))
	for _, e := range events {
		key := eventKey{instance: e.GetInstanceId(), incarnation: e.GetIncarnation(), sequence: e.GetSequence()}
		shown[key] = struct{}{}
		if _, before := c.seen[key]; before {
			continue
		}
		_, _ = fmt.Fprintf(c.app.out, "%s  %-12s %-20s %s %s %s %s\n", formatEventTime(e), e.GetInstanceId(), e.GetKind(),
			orDash(e.GetRequestId()), orDash(shortenID(e.GetAttemptId())), orDash(e.GetEndpointId()), e.GetDetail())
	}
	c.seen = shown
}
