package main

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The pace of following, and how far it looks back for events that a daemon
// whose clock is behind has stamped late.
const (
	followEvery = 500 * time.Millisecond
	followBack  = 5 * time.Second
)

// timelineKey names an event over all daemons.
type timelineKey struct {
	instance    string
	incarnation uint64
	sequence    uint64
}

// followEvents prints new events until the tool is interrupted.
func (c *timelineCommand) followEvents(client *operator.Client) error {
	c.seen = make(map[timelineKey]struct{})
	ticker := time.NewTicker(followEvery)
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
		c.query.SinceNs = max(c.query.SinceNs, uint64(c.app.now().Add(-followBack).UnixNano()))
		select {
		case <-c.app.ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (c *timelineCommand) printNew(events []*pb.TimelineEvent) {
	shown := make(map[timelineKey]struct{}, len(events))
	for _, e := range events {
		key := timelineKey{instance: e.GetInstanceId(), incarnation: e.GetIncarnation(), sequence: e.GetSequence()}
		shown[key] = struct{}{}
		if _, before := c.seen[key]; before {
			continue
		}
		_, _ = fmt.Fprintf(c.app.out, "%s  %-12s %-20s %s %s %s %s\n", clock(e), e.GetInstanceId(), e.GetKind(),
			orDash(e.GetRequestId()), orDash(short(e.GetAttemptId())), orDash(e.GetEndpointId()), e.GetDetail())
	}
	c.seen = shown
}
