package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// admitted is an exchange that may run, by a configuration.
type admitted struct {
	view  *View
	route *routetable.Route
	team  *routetable.Team // nil where callers need no key
}

// The figures of a wait for the control instances.
const (
	// controlShare is the part of a target that a request waits for them: processes
	// that were killed together are back within a second.
	controlShare = 0.6
	// controlPause is the wait between two looks.
	controlPause = 20 * time.Millisecond
)

// mayWait tells whether an exchange may wait on for the control instances.
func mayWait(x *Exchange, route *routetable.Route) bool {
	return time.Since(x.Received) < time.Duration(controlShare*float64(route.Target))
}

// admit finds the way of an exchange, and tells why there is none.
//
// Load pattern: all processes are killed, and all callers come back at once, before the
// control instances have a leader who can say which keys hold. An entry that has only
// just started expects that word within tenths of a second, and those who can wait for
// it are still served in their target.
func (r *Router) admit(ctx context.Context, x *Exchange) (admitted, *Refusal) {
	for r.awaitsFirstWord(x) && sleep.For(ctx, controlPause) {
	}
	return r.judge(x)
}

// awaitsFirstWord tells whether an exchange that needs a key may wait for a word, since
// the entry has started so recently that nobody could tell it yet whether its
// configuration is the newest.
func (r *Router) awaitsFirstWord(x *Exchange) bool {
	view := r.options.View()
	if r.options.RevokeWithin == 0 || !r.options.Policy.Has(dispatch.AwaitWord) || view == nil || view.Table == nil || view.Confirmed.At() > 0 {
		return false
	}
	route := view.Table.Match(x.Host, x.Path)
	return route != nil && view.Table.NeedsKey(route) && mayWait(x, route)
}

// judge is admit by what is known now.
func (r *Router) judge(x *Exchange) (a admitted, refusal *Refusal) {
	a.view = r.options.View()
	if a.view == nil || a.view.Table == nil {
		return a, &Refusal{Verdict: VerdictNotRun, Reason: "no configuration is known yet", RetryAfter: comeAgain}
	}
	version := a.view.Table.Version
	if refusal := r.refuseOutdated(); refusal != nil {
		r.options.Part.Warn("Refused by an outdated configuration.", "request", x.ID, "version", version,
			"behind_ms", r.behind().Milliseconds())
		return a, refusal
	}
	a.route = a.view.Table.Match(x.Host, x.Path)
	if a.route == nil {
		r.options.Part.Info("No route.", "request", x.ID, "host", x.Host, "path", x.Path, "version", version,
			"behind_ms", r.behind().Milliseconds())
		return a, r.noRoute()
	}
	if limit := a.view.Table.Limits.BodyBytes; limit > 0 && len(x.Body) > limit {
		return a, &Refusal{Verdict: VerdictTooLarge, Reason: "the body is over the limit"}
	}
	a.team, refusal = r.identify(x, a.view, a.route)
	return a, refusal
}
