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

// The issuer's bounds.
const (
	maxRunning      = 16               // orders at once in one daemon
	callTimeout     = 5 * time.Second  // of reads and confirmations
	shortestLongest = 30 * time.Second // least value of Bounds.Longest
	defaultLease    = 2 * time.Second
	maxRepairs      = 3 // orders issued again after slipping in
)

// Control is what an Issuer asks of the control group; control.Client has it.
type Control interface {
	Order(ctx context.Context, o *pb.IssueOrder) (*pb.OrderReply, error)
}

// Endpoints is what an Issuer asks of endpoints; engine.Client has it.
type Endpoints interface {
	State(ctx context.Context, t engine.Target) (engineapi.Announcement, error)
	Order(ctx context.Context, t engine.Target, o engineapi.Order) (engineapi.OrderReply, error)
}

// Options are an Issuer's parts; all but Part, Recorder and Now are required.
type Options struct {
	Control   Control
	Endpoints Endpoints
	Source    membership.Source
	Part      logging.Part
	Recorder  timeline.Recorder // nil: no events
	Now       func() time.Time  // nil: time.Now
}

// Issuer carries out orders. Safe for use by many goroutines.
type Issuer struct {
	control   Control
	endpoints Endpoints
	source    membership.Source
	part      logging.Part
	recorder  timeline.Recorder
	now       func() time.Time
	running   chan struct{}
	ended     endedTokens
	watch     watch
}

// NewIssuer makes an issuer.
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

// BoundsOf gives the bounds under the settings: an order may take as long as
// the slowest load of any model.
func BoundsOf(t *settings.Tree) Bounds {
	b := Bounds{Lease: t.Fleet.Timeouts.InstanceLease, Longest: shortestLongest}
	if b.Lease <= 0 {
		b.Lease = defaultLease
	}
	for _, m := range t.Fleet.Models {
		b.Longest = max(b.Longest, m.LoadTime)
	}
	return b
}

// Run carries out one order at an endpoint and gives how it ended. It fails
// with a LimitExceeded error when too many are running, and with ctx's error
// when that ends first; the order may then still be carried out, and running
// it again with the same ID goes on with it. When this order slipped in after
// a newer one, the newer one is issued again.
func (i *Issuer) Run(ctx context.Context, target engine.Target, want Want) (Outcome, error) {
	select {
	case i.running <- struct{}{}:
		defer func() { <-i.running }()
	default:
		return OutcomeUnset, trace.LimitExceeded("%d orders are running", maxRunning)
	}
	outcome, newest, err := i.run(ctx, target, want)
	for n := 1; err == nil && outcome == OutcomeSlippedIn && n <= maxRepairs; n++ {
		repair := wantOf(newest.GetOrder(), fmt.Sprintf("%s/repair-%d", want.ID, newest.GetToken()))
		var again Outcome
		again, newest, err = i.run(ctx, target, repair)
		if again != OutcomeSlippedIn {
			i.part.Warn("Issued a newer order again.", "endpoint", target.ID, "order", repair.ID, "outcome", again)
			return OutcomeSuperseded, err
		}
	}
	return outcome, err
}

func (i *Issuer) run(ctx context.Context, target engine.Target, want Want) (Outcome, *pb.OrderRecord, error) {
	p := NewProcess(want, BoundsOf(i.source.State().Tree), i.now())
	p.own = i.ended.of(target.ID)
	for {
		step, at := p.Next()
		if err := i.waitUntil(ctx, at); err != nil {
			return OutcomeUnset, nil, err
		}
		switch step {
		case StepLook:
			i.look(ctx, p, target)
		case StepConfirm:
			i.confirm(ctx, p, target, want)
		case StepSend:
			i.send(ctx, p, target, want)
		case StepEnd:
			i.part.Info("Order ended.", "order", p.OrderID(), "endpoint", target.ID, "token", p.Token(), "outcome", p.Outcome())
			i.noteEnd(p, target, want)
			return p.Outcome(), p.Newest(), nil
		}
	}
}

// noteEnd remembers an order that was done.
func (i *Issuer) noteEnd(p *Process, target engine.Target, want Want) {
	if p.Outcome() != OutcomeDone {
		return
	}
	i.ended.note(target.ID, p.Token())
	if !p.checks {
		i.watch.note(watched{target: target, want: want, order: p.OrderID(), until: i.now().Add(watchFor)})
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

func (i *Issuer) look(ctx context.Context, p *Process, target engine.Target) {
	a, err := i.stateOf(ctx, target)
	p.Looked(i.now(), a, err)
}

func (i *Issuer) confirm(ctx context.Context, p *Process, target engine.Target, want Want) {
	asked := i.now()
	reply, err := i.ask(ctx, target, want, p.OrderID())
	p.Confirmed(asked, i.now(), reply, err)
}

func (i *Issuer) send(ctx context.Context, p *Process, target engine.Target, want Want) {
	bounds := BoundsOf(i.source.State().Tree)
	ctx, cancel := context.WithTimeout(ctx, bounds.Longest)
	defer cancel()
	order := engineapi.Order{ID: p.OrderID(), Token: p.Token(), Kind: want.Kind, Model: want.Model, Role: want.Role}
	if now := i.now(); !p.MaySend(now) || !i.source.Current(now) {
		p.NotSent(now)
		return
	}
	reply, err := i.endpoints.Order(ctx, target, order)
	i.record(p, target)
	p.Sent(i.now(), err == nil && reply.Done, codeOf(err))
}

func (i *Issuer) record(p *Process, target engine.Target) {
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
