package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// admitted is an exchange that may be served, with the configuration that allows it.
type admitted struct {
	view  *View
	route *routetable.Route
	team  *routetable.Team // nil where callers need no key
}

// Limits of a request's wait for the control instances.
const (
	// controlWaitShare is the share of the route's target that a request may wait for them:
	// processes that were killed together are back within a second.
	controlWaitShare = 0.6
	// controlPollInterval is the pause between two checks.
	controlPollInterval = 20 * time.Millisecond
)

// mayWaitForControl reports whether an exchange may keep waiting for the control instances.
func mayWaitForControl(x *Exchange, route *routetable.Route) bool {
	return time.Since(x.Received) < time.Duration(controlWaitShare*float64(route.Target))
}

// admit finds the route and team of an exchange, or returns why it is refused.
//
// Load pattern: all processes are killed, and all callers return at once, before the
// control instances have a leader that can say which keys are valid. An entry that has
// just started receives that confirmation within tenths of a second, and requests that
// can wait for it are still served within their target.
func (r *Router) admit(ctx context.Context, x *Exchange) (admitted, *Refusal) {
	for r.awaitsFirstConfirmation(x) && sleep.For(ctx, controlPollInterval) {
	}
	return r.admitNow(x)
}

// awaitsFirstConfirmation reports whether an exchange that needs a key may wait for the
// first confirmation of the entry's configuration: the entry has just started, and no
// leader could tell it yet whether the configuration is the latest.
func (r *Router) awaitsFirstConfirmation(x *Exchange) bool {
	view := r.options.View()
	if r.options.RevokeWithin == 0 || !r.options.Policy.Has(dispatch.AwaitLatestConfig) || view == nil || view.Table == nil || view.Confirmed.At() > 0 {
		return false
	}
	route := view.Table.Match(x.Host, x.Path)
	return route != nil && view.Table.NeedsKey(route) && mayWaitForControl(x, route)
}

// admitNow decides by what is known now, without waiting.
func (r *Router) admitNow(x *Exchange) (a admitted, refusal *Refusal) {
	a.view = r.options.View()
	if a.view == nil || a.view.Table == nil {
		return a, &Refusal{Verdict: VerdictNotRun, Reason: "no configuration is known yet", RetryAfter: defaultRetryAfter}
	}
	version := a.view.Table.Version
	if refusal := r.refuseOutdated(); refusal != nil {
		r.options.Part.Warn("Refused by an outdated configuration.", "request", x.ID, "version", version,
			"behind_ms", r.outdatedFor().Milliseconds())
		return a, refusal
	}
	a.route = a.view.Table.Match(x.Host, x.Path)
	if a.route == nil {
		r.options.Part.Info("No route.", "request", x.ID, "host", x.Host, "path", x.Path, "version", version,
			"behind_ms", r.outdatedFor().Milliseconds())
		return a, r.refuseNoRoute()
	}
	if limit := a.view.Table.Limits.BodyBytes; limit > 0 && len(x.Body) > limit {
		return a, &Refusal{Verdict: VerdictTooLarge, Reason: "the body is over the limit"}
	}
	a.team, refusal = r.identify(x, a.view, a.route)
	return a, refusal
}
