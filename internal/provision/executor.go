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

// Times of a stop of grants. A planner that is frozen for longer than
// stopDuration loses its stop. It notices at its next order, which is sent only
// within an instance lease of a confirmation.
const (
	stopDuration      = 10 * time.Second
	stopRenewInterval = time.Second
	idlePollInterval  = 200 * time.Millisecond // between checks whether the endpoint is idle
	quiesceTimeout    = 2 * time.Second        // timeout of one call
)

// Result is the outcome of a change.
type Result string

// Results of a change.
const (
	ResultDone       Result = "done"
	ResultBusy       Result = "busy"       // the endpoint didn't become idle in time
	ResultNeeded     Result = "needed"     // the endpoint had become the last one that serves a demand
	ResultSuperseded Result = "superseded" // a newer order to the endpoint was issued
	ResultRefused    Result = "refused"    // by the control group or the endpoint
	ResultFailed     Result = "failed"
)

// executor carries out changes: it drains the endpoint and issues its orders.
type executor struct {
	options Options
	home    *server
	issuer  *orders.Issuer
}

// run carries out one change. It waits at most drain for an endpoint that must be
// idle, and calls allowed once the endpoint is idle.
func (e *executor) run(ctx context.Context, id string, change Change, drain time.Duration, allowed func(Change) bool) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	target := change.Engine.Target
	if change.Drains() {
		if !e.drain(ctx, id, change, drain) {
			e.resume(id, change)
			return ResultBusy
		}
		defer e.resume(id, change)
		if !allowed(change) {
			return ResultNeeded
		}
		go e.renew(ctx, id, change)
	}
	for n, o := range change.Orders {
		spec := orders.Spec{ID: fmt.Sprintf("%s/%d", id, n), Kind: o.Kind, Model: o.Model, Role: o.Role}
		outcome, err := e.issuer.Run(ctx, target, spec)
		if err != nil {
			e.options.Part.Warn("Cannot carry out the order.", "order", spec.ID, "endpoint", target.ID, "err", err)
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

// drain stops the endpoint's grants and reports whether it became idle within
// the given time.
func (e *executor) drain(ctx context.Context, id string, change Change, within time.Duration) bool {
	deadline := e.options.Now().Add(within)
	var latest *pb.QuiesceReply
	var err error
	for ctx.Err() == nil && e.options.Now().Before(deadline) {
		latest, err = e.quiesce(ctx, id, change, stopDuration)
		if err == nil && latest.GetIdle() {
			return true
		}
		sleep.For(ctx, idlePollInterval)
	}
	e.options.Part.Warn("The endpoint didn't become idle in time.", "endpoint", change.Engine.Target.ID, "order", id, "reason", latest.GetReason(), "err", err)
	return false
}

func (e *executor) renew(ctx context.Context, id string, change Change) {
	for ctx.Err() == nil {
		if _, err := e.quiesce(ctx, id, change, stopDuration); err != nil && ctx.Err() == nil {
			e.options.Part.Debug("Cannot renew the stop of grants.", "endpoint", change.Engine.Target.ID, "err", err)
		}
		sleep.For(ctx, stopRenewInterval)
	}
}

// resume ends the stop of grants. If the call is lost, the stop expires after
// stopDuration.
func (e *executor) resume(id string, change Change) {
	ctx, cancel := context.WithTimeout(context.Background(), quiesceTimeout)
	defer cancel()
	if _, err := e.quiesce(ctx, id, change, 0); err != nil {
		e.options.Part.Debug("Cannot end the stop of grants.", "endpoint", change.Engine.Target.ID, "err", err)
	}
}

func (e *executor) quiesce(ctx context.Context, id string, change Change, life time.Duration) (*pb.QuiesceReply, error) {
	target := change.Engine.Target
	home, ok := fleet.HomeOf(target.ID, target.Zone, e.options.Source.State().View)
	if !ok {
		return nil, trace.NotFound("endpoint %s has no home", target.ID)
	}
	request := &pb.QuiesceRequest{EndpointId: string(target.ID), OrderId: id, LifeMs: uint64(life.Milliseconds())}
	if home.Owner() == e.options.Source.Self().Owner() {
		return e.home.Quiesce(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	conn, err := e.options.Dialer.Conn(ctx, home.RPCAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reply, err := pb.NewDRPCProvisionClient(conn).Quiesce(ctx, request)
	return reply, trace.Wrap(err)
}

// record logs a change's progress and records it on the timeline.
func (e *executor) record(progress string, id string, change Change) {
	detail := progress + " " + id + ":" + describe(change.Orders)
	e.options.Part.Info("Endpoint change.", "endpoint", change.Engine.Target.ID, "detail", detail)
	if e.options.Recorder != nil {
		e.options.Recorder.Record(timeline.Event{Kind: timeline.KindOrder, Endpoint: change.Engine.Target.ID, Detail: detail})
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
