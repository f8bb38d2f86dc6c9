package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// tenure remembers the views of the last few seconds, to tell when no earlier
// home of an endpoint can have a grant outstanding. Pure.
//
// The failure: a home is frozen or cut off, the view makes another instance
// home, and both grant the same slots; callers see engines that refuse with
// "full", or a queue that grows inside the engine. The guard: a new home
// grants nothing before quiet.
type tenure struct {
	self   fleet.Owner
	limits Limits
	seen   []seenView
	// blind is when views unknown to this process can matter no longer: after
	// its start, or after a view number was skipped.
	blind time.Time
}

type seenView struct {
	view fleet.View
	at   time.Time
}

func newTenure(now time.Time, self fleet.Owner, limits Limits) *tenure {
	return &tenure{self: self, limits: limits, blind: now.Add(limits.SettingsLease + limits.GrantLife)}
}

// observe notes a view; it tells whether the view is new, and whether one
// between it and the last was missed.
func (t *tenure) observe(now time.Time, view fleet.View) (fresh, missed bool) {
	last := len(t.seen) - 1
	if last >= 0 && view.Number <= t.seen[last].view.Number {
		return false, false
	}
	horizon := t.limits.SettingsLease + t.limits.GrantLife
	if last >= 0 && view.Number != t.seen[last].view.Number+1 {
		t.blind = now.Add(horizon)
		t.seen = t.seen[:0]
		missed = true
	}
	t.seen = append(t.seen, seenView{view: view, at: now})
	for len(t.seen) > 1 && now.Sub(t.seen[1].at) > horizon {
		t.seen = t.seen[1:]
	}
	if len(t.seen) > maxViews {
		t.blind = now.Add(horizon)
		t.seen = t.seen[len(t.seen)-1:]
	}
	return true, missed
}

// quiet gives the time from which no other instance's grants for the endpoint
// can be unconfirmed. An earlier home that has left the view had lost its
// lease before, so its last grant ends GrantLife after this process saw the
// view. One that is still in the view may not know of the newer view, but it
// stops when it was not confirmed Current for SettingsLease.
func (t *tenure) quiet(endpoint fleet.EndpointID, zone fleet.AvailabilityZone) time.Time {
	until := t.blind
	for n := range t.seen {
		home, ok := fleet.HomeOf(endpoint, zone, t.seen[n].view)
		if !ok || home.Owner() == t.self {
			continue
		}
		until = later(until, t.ends(n, home.Owner()))
	}
	return until
}

// ends gives when the grants of owner, home in the n-th view, have ended.
func (t *tenure) ends(n int, owner fleet.Owner) time.Time {
	for _, s := range t.seen[n+1:] {
		if !s.view.Holds(owner) {
			return s.at.Add(t.limits.GrantLife)
		}
	}
	replaced := t.seen[len(t.seen)-1].at
	if n+1 < len(t.seen) {
		replaced = t.seen[n+1].at
	}
	return replaced.Add(t.limits.SettingsLease + t.limits.GrantLife)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
