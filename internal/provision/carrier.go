package provision

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/orders"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// The times of a stop of grants. A planner that is frozen for longer than
// stopLife loses its stop; it finds out at its next order, which is only sent
// within an instance lease of a confirmation.
const (
	stopLife  = 10 * time.Second
	stopRenew = time.Second
	stopPoll  = 200 * time.Millisecond
	stopCall  = 2 * time.Second
)

// Result is how a change ended.
type Result string

// The results.
const (
	ResultDone       Result = "done"
	ResultBusy       Result = "busy"       // the endpoint wasn't idle in time
	ResultNeeded     Result = "needed"     // it had become the last to serve a demand
	ResultSuperseded Result = "superseded" // a newer order to the endpoint was issued
	ResultRefused    Result = "refused"    // by the control group or the endpoint
	ResultFailed     Result = "failed"
)

// carrier carries out changes: it empties the endpoint and gives its orders.
type carrier struct {
	options Options
	home    *server
	issuer  *orders.Issuer
}

// run carries out one change; may is asked once the endpoint is idle.
func (c *carrier) run(ctx context.Context, id string, change Change, drain time.Duration, may func(Change) bool) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := change.Engine.Target
	if change.Drains() {
		if !c.empty(ctx, id, change, drain) {
			c.release(id, change)
			return ResultBusy
		}
		defer c.release(id, change)
		if !may(change) {
			return ResultNeeded
		}
		go c.renew(ctx, id, change)
	}
	for n, o := range change.Orders {
		want := orders.Spec{ID: fmt.Sprintf("%s/%d", id, n), Kind: o.Kind, Model: o.Model, Role: o.Role}
		outcome, err := c.issuer.Run(ctx, target, want)
		if err != nil {
			c.options.Part.Warn("Order not given.", "order", want.ID, "endpoint", target.ID, "err", err)
			return ResultFailed
		}
		if outcome != orders.OutcomeDone {
			return resultOf(outcome)
		}
	}
	return ResultDone
}

func resultOf(o orders.Outcome) Result {
	switch o {
	case orders.OutcomeSuperseded, orders.OutcomeOutOfOrder:
		return ResultSuperseded
	case orders.OutcomeRefused:
		return ResultRefused
	}
	return ResultFailed
}

// empty stops the endpoint's grants until it is idle or drain has passed.
func (c *carrier) empty(ctx context.Context, id string, change Change, drain time.Duration) bool {
	deadline := c.options.Now().Add(drain)
	for ctx.Err() == nil && c.options.Now().Before(deadline) {
		reply, err := c.quiesce(ctx, id, change, stopLife)
		if err == nil && reply.GetIdle() {
			return true
		}
		sleep.For(ctx, stopPoll)
	}
	return false
}

func (c *carrier) renew(ctx context.Context, id string, change Change) {
	for ctx.Err() == nil {
		if _, err := c.quiesce(ctx, id, change, stopLife); err != nil && ctx.Err() == nil {
			c.options.Part.Debug("Stop of grants not renewed.", "endpoint", change.Engine.Target.ID, "err", err)
		}
		sleep.For(ctx, stopRenew)
	}
}

// release lets grants go on; a lost release is made up by the stop's life.
func (c *carrier) release(id string, change Change) {
	ctx, cancel := context.WithTimeout(context.Background(), stopCall)
	defer cancel()
	if _, err := c.quiesce(ctx, id, change, 0); err != nil {
		c.options.Part.Debug("Stop of grants not ended.", "endpoint", change.Engine.Target.ID, "err", err)
	}
}

func (c *carrier) quiesce(ctx context.Context, id string, change Change, life time.Duration) (*pb.QuiesceReply, error) {
	target := change.Engine.Target
	home, ok := fleet.HomeOf(target.ID, target.Zone, c.options.Source.State().View)
	if !ok {
		return nil, trace.NotFound("endpoint %s has no home", target.ID)
	}
	request := &pb.QuiesceRequest{EndpointId: string(target.ID), OrderId: id, LifeMs: uint64(life.Milliseconds())}
	if home.Owner() == c.options.Source.Self().Owner() {
		return c.home.Quiesce(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, stopCall)
	defer cancel()
	conn, err := c.options.Dialer.Conn(ctx, home.RPCAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply, err := pb.NewDRPCProvisionClient(conn).Quiesce(ctx, request)
	return reply, trace.Wrap(err)
}

// note puts a change on the log and the time line.
func (c *carrier) note(what string, id string, change Change) {
	detail := what + " " + id + ":" + describe(change.Orders)
	c.options.Part.Info("Change of an endpoint.", "endpoint", change.Engine.Target.ID, "detail", detail)
	if c.options.Recorder != nil {
		c.options.Recorder.Record(timeline.Event{Kind: timeline.KindOrder, Endpoint: change.Engine.Target.ID, Detail: detail})
	}
}

func describe(list []schedule.PlanOrder) string {
	text := ""
	for _, o := range list {
		text += " " + string(o.Kind)
		if o.Role != "" {
			text += " " + string(o.Role)
		}
		if o.Model.Model != "" {
			text += " " + o.Model.String()
		}
	}
	return text
}
