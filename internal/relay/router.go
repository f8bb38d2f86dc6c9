package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
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
}

// New makes a Router.
func New(options Options) *Router {
	return &Router{options: options, metrics: newMetrics(options.Metrics), giveBacks: newGiveBacks()}
}

// Serve takes an exchange to its answer. It gives nil when the caller got one,
// whole or broken off, and a refusal when nothing was passed on. ctx ends when
// the caller leaves.
func (r *Router) Serve(ctx context.Context, x *Exchange, caller Caller) *Refusal {
	view := r.options.View()
	if view == nil || view.Table == nil {
		refusal := &Refusal{Verdict: VerdictNotRun, Reason: "no configuration is known yet", RetryAfter: comeAgain}
		return r.metrics.refused(refusal)
	}
	if refusal := r.refuseOutdated(); refusal != nil {
		r.options.Part.Warn("Refused by an outdated configuration.", "request", x.ID, "version", view.Table.Version,
			"behind_ms", r.behind().Milliseconds())
		return r.metrics.refused(refusal)
	}
	route := view.Table.Match(x.Host, x.Path)
	if route == nil {
		r.options.Part.Info("No route.", "request", x.ID, "host", x.Host, "path", x.Path, "version", view.Table.Version,
			"behind_ms", r.behind().Milliseconds())
		return r.metrics.refused(r.noRoute())
	}
	if limit := view.Table.Limits.BodyBytes; limit > 0 && len(x.Body) > limit {
		return r.metrics.refused(&Refusal{Verdict: VerdictTooLarge, Reason: "the body is over the limit"})
	}
	team, refusal := r.identify(x, view, route)
	if refusal != nil {
		return r.metrics.refused(refusal)
	}
	taken, refusal := r.takeQuota(ctx, x, view, route, team)
	if refusal != nil {
		return r.metrics.refused(refusal)
	}
	refusal, ran := r.run(ctx, x, caller, view, route, team)
	if !ran {
		r.returnQuota(x, taken)
	}
	return refusal
}

// run tells besides whether the exchange may have run.
func (r *Router) run(
	ctx context.Context, x *Exchange, caller Caller, view *View, route *routetable.Route, team *routetable.Team,
) (refusal *Refusal, ran bool) {
	deadline := x.Received.Add(route.Timeout)
	if x.Patience > 0 && x.Patience < route.Timeout {
		deadline = x.Received.Add(x.Patience)
	}
	deadline = deadline.Add(-timeoutSlack)
	ctx, cancel := context.WithDeadlineCause(ctx, deadline, errTimeUp)
	defer cancel()
	service := route.Choose(r.options.Random())
	life := &life{
		router: r, x: x, caller: caller, route: route, team: team, version: view.Table.Version,
		service: service, engine: engineOf(view.Table, service), deadline: deadline,
	}
	r.options.Budget.Request(time.Now(), service)
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

// candidates lists a service's endpoints of a stage that were not tried.
func (r *Router) candidates(service string, stage dispatch.Stage, model string, tried map[dispatch.Incarnation]bool) []*dispatch.Endpoint {
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
