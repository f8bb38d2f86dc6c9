package orders

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Limits of an Issuer.
const (
	maxRunning       = 16               // concurrent orders of one daemon
	callTimeout      = 5 * time.Second  // for reads of state and calls to the control group
	maxDurationFloor = 30 * time.Second // lower bound of Bounds.MaxDuration
	defaultLease     = 2 * time.Second
	maxRepairs       = 3 // reissues of a newer order that a late send may have overwritten
)

// Control is the part of the control group's API that an Issuer uses;
// control.Client implements it.
type Control interface {
	Order(ctx context.Context, o *pb.IssueOrder) (*pb.OrderReply, error)
}

// Endpoints is the part of the endpoints' API that an Issuer uses; engine.Client
// implements it.
type Endpoints interface {
	State(ctx context.Context, t engine.Target) (engineapi.Announcement, error)
	Order(ctx context.Context, t engine.Target, o engineapi.Order) (engineapi.OrderReply, error)
}

// Options holds an Issuer's dependencies; all but Part, Recorder and Now are
// required.
type Options struct {
	Control   Control
	Endpoints Endpoints
	Source    membership.Source
	Part      logging.Part
	Recorder  timeline.Recorder // nil: no events
	Now       func() time.Time  // nil: time.Now
}

// Issuer carries out orders. Safe for concurrent use.
type Issuer struct {
	control   Control
	endpoints Endpoints
	source    membership.Source
	part      logging.Part
	recorder  timeline.Recorder
	now       func() time.Time
	running   chan struct{}
	ownTokens ownTokens
	watch     watchList
}

// NewIssuer returns an issuer. Its completed orders are only re-checked while
// Watch runs.
func NewIssuer(o Options) *Issuer {
	now := o.Now
	if now == nil {
		now = time.Now
	}
	return &Issuer{
		control:   o.Control,
		endpoints: o.Endpoints,
		source:    o.Source,
		part:      o.Part,
		recorder:  o.Recorder,
		now:       now,
		running:   make(chan struct{}, maxRunning),
	}
}

// BoundsOf returns the bounds under the settings. An order may take as long as
// the slowest load of any model.
func BoundsOf(t *settings.Tree) Bounds {
	b := Bounds{Lease: t.Fleet.Timeouts.InstanceLease, MaxDuration: maxDurationFloor}
	if b.Lease <= 0 {
		b.Lease = defaultLease
	}
	for _, m := range t.Fleet.Models {
		b.MaxDuration = max(b.MaxDuration, m.LoadTime)
	}
	return b
}

// Run carries out one order at an endpoint and returns its outcome. The error is
// a LimitExceeded when too many orders are running, or ctx's error when ctx ends
// first; the order may then still take effect, and running it again with the
// same ID continues it. If this order may have overwritten a newer one, Run
// reissues the newer one.
func (i *Issuer) Run(ctx context.Context, target engine.Target, spec Spec) (Outcome, error) {
	select {
	case i.running <- struct{}{}:
		defer func() { <-i.running }()
	default:
		return OutcomeUnset, trace.LimitExceeded("%d orders are running", maxRunning)
	}
	outcome, newest, err := i.run(ctx, target, spec)
	for n := 1; err == nil && outcome == OutcomeOutOfOrder && n <= maxRepairs; n++ {
		repair := specOf(newest.GetOrder(), fmt.Sprintf("%s/repair-%d", spec.ID, newest.GetToken()))
		var repaired Outcome
		repaired, newest, err = i.run(ctx, target, repair)
		if repaired != OutcomeOutOfOrder {
			i.part.Warn("Reissued a newer order that a late send may have overwritten.", "endpoint", target.ID, "order", repair.ID, "outcome", repaired)
			return OutcomeSuperseded, err
		}
	}
	return outcome, err
}

func (i *Issuer) run(ctx context.Context, target engine.Target, spec Spec) (Outcome, *pb.OrderRecord, error) {
	p := NewProcess(spec, BoundsOf(i.source.State().Tree), i.now())
	p.ownPrevious = i.ownTokens.get(target.ID)
	for {
		step, at := p.Next()
		if err := i.waitUntil(ctx, at); err != nil {
			return OutcomeUnset, nil, err
		}
		switch step {
		case StepRead:
			i.readState(ctx, p, target)
		case StepConfirm:
			i.confirm(ctx, p, target, spec)
		case StepSend:
			i.send(ctx, p, target, spec)
		case StepEnd:
			i.part.Info("Order ended.", "order", p.OrderID(), "endpoint", target.ID, "token", p.Token(), "outcome", p.Outcome())
			i.recordDone(p, target, spec)
			return p.Outcome(), p.Newest(), nil
		}
	}
}

// recordDone records a completed order, and adds it to the watch list if the
// endpoint ignores tokens.
func (i *Issuer) recordDone(p *Process, target engine.Target, spec Spec) {
	if p.Outcome() != OutcomeDone {
		return
	}
	i.ownTokens.set(target.ID, p.Token())
	if !p.checksTokens {
		i.watch.add(watchedOrder{target: target, spec: spec, order: p.OrderID(), until: i.now().Add(watchDuration)})
	}
}

func (i *Issuer) waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(at.Sub(i.now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return trace.Wrap(ctx.Err())
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

func (i *Issuer) readState(ctx context.Context, p *Process, target engine.Target) {
	a, err := i.stateOf(ctx, target)
	p.StateRead(i.now(), a, err)
}

func (i *Issuer) confirm(ctx context.Context, p *Process, target engine.Target, spec Spec) {
	asked := i.now()
	reply, err := i.commit(ctx, target, spec, p.OrderID())
	p.Confirmed(asked, i.now(), reply, err)
}

func (i *Issuer) send(ctx context.Context, p *Process, target engine.Target, spec Spec) {
	bounds := BoundsOf(i.source.State().Tree)
	ctx, cancel := context.WithTimeout(ctx, bounds.MaxDuration)
	defer cancel()
	order := engineapi.Order{ID: p.OrderID(), FencingToken: p.Token(), Kind: spec.Kind, Model: spec.Model, Role: spec.Role}
	if now := i.now(); !p.MaySend(now) || !i.source.Current(now) {
		p.NotSent(now)
		return
	}
	reply, err := i.endpoints.Order(ctx, target, order)
	i.recordEvent(p, target)
	p.Sent(i.now(), err == nil && reply.Done, codeOf(err))
}

func (i *Issuer) recordEvent(p *Process, target engine.Target) {
	if i.recorder == nil {
		return
	}
	i.recorder.Record(timeline.Event{
		Kind:     timeline.KindOrder,
		Endpoint: target.ID,
		Detail:   fmt.Sprintf("%s token %d", p.OrderID(), p.Token()),
	})
}

func codeOf(err error) engineapi.Code {
	var e *engine.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
