package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// acceptShare is the part of Options.RevokeWithin for which keys are accepted by a
// configuration without a word that it is still the newest. The rest is for clocks
// that don't run alike.
const acceptShare = 0.95

// identify gives the team whose key the exchange shows; nil where the route needs
// none. It is called once the whole request was received.
//
// Failure guarded: an entry is cut off, frozen or suspended while a key is taken away,
// and serves its holder on. Here the configuration must have been the newest one at a
// moment that lies less than the limit back: who was told later than the limit ago that
// the key is gone sent the request after that moment, and is refused. Clocks that are
// set back or stand still don't matter, as the one that counts does neither.
func (r *Router) identify(x *Exchange, view *View, route *routetable.Route) (*routetable.Team, *Refusal) {
	if !view.Table.NeedsKey(route) {
		return nil, nil
	}
	if age, limit := r.confirmedFor(view), r.acceptFor(); limit > 0 && age > limit {
		r.options.Part.Warn("Refused, keys may have changed.", "request", x.ID, "route", route.Name,
			"version", view.Table.Version, "unconfirmed_ms", age.Milliseconds())
		return nil, &Refusal{Verdict: VerdictNotRun, Reason: "this entry can't tell whether the key still holds", RetryAfter: comeAgain}
	}
	team := view.Table.TeamOf(x.Key)
	if team != nil {
		return team, nil
	}
	r.options.Part.Info("No team has the key.", "request", x.ID, "route", route.Name, "shown", x.Key != "",
		"version", view.Table.Version, "behind_ms", r.behind().Milliseconds())
	if r.behind() > 0 {
		return nil, &Refusal{Verdict: VerdictNotRun, Reason: "the key is not known, and a newer configuration is on its way", RetryAfter: comeAgain}
	}
	return nil, &Refusal{Verdict: VerdictNoKey, Reason: "no team has this key"}
}

// acceptFor is how long keys are accepted by a configuration without a word.
func (r *Router) acceptFor() time.Duration {
	return time.Duration(acceptShare * float64(r.options.RevokeWithin))
}

// confirmedFor is how long ago the configuration of a view was the newest for sure.
func (r *Router) confirmedFor(view *View) time.Duration {
	if r.options.Uptime == nil || view.Confirmed == nil {
		return 0
	}
	return r.options.Uptime() - view.Confirmed.At()
}

// teamName is for logs and endpoints; empty for none.
func teamName(t *routetable.Team) string {
	if t == nil {
		return ""
	}
	return t.Name
}
