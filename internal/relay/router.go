package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// errSilent is why a call ends whose endpoint has not answered in its time.
var errSilent = errors.New("the endpoint is silent")

// errTimeUp is why an exchange's context ends at its time limit.
var errTimeUp = errors.New("the time for the answer is up")

// Router takes exchanges to their answers.
type Router struct {
	options   Options
	metrics   *metrics
	giveBacks giveBacks
	followed  chan struct{} // holds one for each loss that is followed
}

// New makes a Router.
func New(options Options) *Router {
	if options.Limits == nil {
		options.Limits = endpointlimit.Unkept()
	}
	return &Router{options: options, metrics: newMetrics(options.Metrics), giveBacks: newGiveBacks(), followed: make(chan struct{}, mostFollowed)}
}

// Serve takes an exchange to its answer. It gives nil when the caller got one,
// whole or broken off, and a refusal when nothing was passed on. ctx ends when
// the caller leaves.
func (r *Router) Serve(ctx context.Context, x *Exchange, caller Caller) *Refusal {
	a, refusal := r.admit(ctx, x)
	if refusal != nil {
		return r.metrics.refused(refusal)
	}
	taken, refusal := r.takeQuota(ctx, x, a)
	if refusal != nil {
		return r.metrics.refused(refusal)
	}
	refusal, ran := r.run(ctx, x, caller, a)
	if !ran {
		r.returnQuota(x, taken)
	}
	return refusal
}

// run tells besides whether the exchange may have run.
func (r *Router) run(ctx context.Context, x *Exchange, caller Caller, a admitted) (refusal *Refusal, ran bool) {
	route := a.route
	deadline := x.Received.Add(route.Timeout)
	if x.Patience > 0 && x.Patience < route.Timeout {
		deadline = x.Received.Add(x.Patience)
	}
	deadline = deadline.Add(-timeoutSlack)
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, errTimeUp)
	defer cancel()
	service := route.Choose(r.options.Random())
	life := &life{
		router: r, x: x, caller: caller, route: route, team: a.team, version: a.view.Table.Version,
		service: service, engine: engineOf(a.view.Table, service), deadline: deadline,
		account: r.options.Budget.Open(time.Now(), service),
	}
	r.metrics.running.Inc()
	defer r.metrics.running.Dec()
	refusal = life.run(ctx)
	life.report(ctx, refusal)
	r.metrics.end(life, refusal)
	return refusal, life.ran
}

func engineOf(table *routetable.Table, service string) *routetable.Engine {
	if s := table.Service(service); s != nil {
		return s.Engine
	}
	return nil
}

// candidates lists a service's endpoints of a stage that were not tried and may get
// something now.
func (r *Router) candidates(service string, stage dispatch.Stage, model string, tried map[dispatch.Incarnation]bool) []*dispatch.Endpoint {
	return r.options.Book.Unblocked(time.Now(), r.untried(service, stage, model, tried))
}

// untried lists a service's endpoints of a stage that were not tried.
func (r *Router) untried(service string, stage dispatch.Stage, model string, tried map[dispatch.Incarnation]bool) []*dispatch.Endpoint {
	view := r.options.View()
	all := view.Endpoints[service]
	list := make([]*dispatch.Endpoint, 0, len(all))
	for _, e := range all {
		if e.Stage == stage && !tried[e.Incarnation()] && e.HasModel(model) {
			list = append(list, e)
		}
	}
	return list
}
