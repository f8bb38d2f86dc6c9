package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// confirmationAgeShare is the share of Options.RevokeWithin for which keys are accepted
// without a new confirmation that the configuration is the latest. The rest allows for
// clocks that run at different speeds.
const confirmationAgeShare = 0.95

// identify returns the team whose key the exchange shows; nil where the route needs none.
// It is called once the whole request was received.
//
// Guards against this failure: an entry is cut off, frozen or suspended while a key is
// revoked, and keeps serving its holder. The configuration must have been confirmed as the
// latest less than the limit ago, so that a request that is received later than the limit
// after the revocation was confirmed is refused. Clocks that are set back or stand still
// don't matter: Options.Uptime does neither.
func (r *Router) identify(x *Exchange, view *View, route *routetable.Route) (*routetable.Team, *Refusal) {
	if !view.Table.NeedsKey(route) {
		return nil, nil
	}
	if age, maxAge := r.confirmationAge(view), r.maxConfirmationAge(); maxAge > 0 && age > maxAge {
		r.options.Part.Warn("Refused, keys may have changed.", "request", x.ID, "route", route.Name,
			"version", view.Table.Version, "unconfirmed_ms", age.Milliseconds())
		return nil, &Refusal{Verdict: VerdictNotRun, Reason: "this entry can't tell whether the key still holds", RetryAfter: defaultRetryAfter}
	}
	team := view.Table.TeamOf(x.Key)
	if team != nil {
		return team, nil
	}
	r.options.Part.Info("No team has the key.", "request", x.ID, "route", route.Name, "shown", x.Key != "",
		"version", view.Table.Version, "behind_ms", r.outdatedFor().Milliseconds())
	if r.outdatedFor() > 0 {
		return nil, &Refusal{Verdict: VerdictNotRun, Reason: "the key is not known, and a newer configuration is on its way", RetryAfter: defaultRetryAfter}
	}
	return nil, &Refusal{Verdict: VerdictNoKey, Reason: "no team has this key"}
}

// maxConfirmationAge is the age of a confirmation up to which keys are accepted.
func (r *Router) maxConfirmationAge() time.Duration {
	return time.Duration(confirmationAgeShare * float64(r.options.RevokeWithin))
}

// confirmationAge returns how long ago the configuration of a view was surely the latest.
func (r *Router) confirmationAge(view *View) time.Duration {
	if r.options.Uptime == nil || view.Confirmed == nil {
		return 0
	}
	return r.options.Uptime() - view.Confirmed.At()
}

// teamName returns the name for logs and endpoints; empty for none.
func teamName(t *routetable.Team) string {
	if t == nil {
		return ""
	}
	return t.Name
}
