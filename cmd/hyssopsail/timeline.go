package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// timelineCommand shows the events of all instances, merged in order.
type timelineCommand struct {
	app    *app
	query  pb.TimelineQuery
	since  time.Duration
	follow bool
	seen   map[eventKey]struct{}
}

func addTimeline(a *app, parser *kingpin.Application) {
	c := &timelineCommand{app: a}
	command := parser.Command("timeline", "Show what happened, over all instances, in order.")
	command.Flag("request", "Only this request ID.").StringVar(&c.query.RequestId)
	command.Flag("endpoint", "Only this endpoint ID.").StringVar(&c.query.EndpointId)
	command.Flag("team", "Only this team.").StringVar(&c.query.Team)
	command.Flag("change", "Only this change ID.").StringVar(&c.query.ChangeId)
	command.Flag("since", "Only events of so long ago, such as 10m; 0s for all kept.").Default("0s").DurationVar(&c.since)
	command.Flag("limit", "At most so many events from each instance.").Default("1000").Uint32Var(&c.query.Limit)
	command.Flag("follow", "Go on with new events until interrupted; table output only.").BoolVar(&c.follow)
	command.Action(a.commandAction(c.run))
}

func (c *timelineCommand) run() error {
	if c.since > 0 {
		c.query.SinceNs = uint64(c.app.now().Add(-c.since).UnixNano())
	}
	client, err := c.app.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	if c.follow {
		return c.followEvents(client)
	}
	reply, err := client.Timeline(c.app.ctx, &c.query)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.query.RequestId != "" && c.app.format == formatTable {
		c.warnIfIncomplete(reply)
		return trace.Wrap(timeline.WriteChart(c.app.out, chartData(reply)))
	}
	t := &table{header: []string{"TIME", "INSTANCE", "EVENT", "REQUEST", "ATTEMPT", "TEAM", "ENDPOINT", "CHANGE", "DETAIL"}}
	for _, e := range reply.Events {
		t.add(formatEventTime(e), e.GetInstanceId(), e.GetKind(), orDash(e.GetRequestId()), orDash(shortenID(e.GetAttemptId())),
			orDash(e.GetTeam()), orDash(e.GetEndpointId()), orDash(shortenID(e.GetChangeId())), e.GetDetail())
	}
	if err := c.app.show(reply, t); err != nil {
		return trace.Wrap(err)
	}
	c.warnIfIncomplete(reply)
	return nil
}

func (c *timelineCommand) warnIfIncomplete(reply operator.TimelineReply) {
	if len(reply.Unreachable) > 0 || reply.Dropped > 0 {
		c.app.warn("the time line is not whole: no answer from %v, %d older events overwritten", reply.Unreachable, reply.Dropped)
	}
}

const eventTimeLayout = "15:04:05.000000"

func formatEventTime(e *pb.TimelineEvent) string {
	return time.Unix(0, int64(e.GetWallNs())).UTC().Format(eventTimeLayout)
}

// shortIDLength is the number of bytes of an ID that a table shows.
const shortIDLength = 8

func shortenID(id string) string {
	if len(id) <= shortIDLength {
		return id
	}
	return id[:shortIDLength]
}

// chartData converts a reply to the request chart's input.
func chartData(reply operator.TimelineReply) timeline.Merged {
	merged := timeline.Merged{Events: reply.Events, Dropped: reply.Dropped}
	for _, id := range reply.Unreachable {
		merged.FailedQueries = append(merged.FailedQueries, timeline.FailedQuery{Instance: fleet.InstanceID(id), Cause: "not reached in time"})
	}
	return merged
}
