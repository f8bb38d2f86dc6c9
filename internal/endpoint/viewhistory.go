package endpoint

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// viewHistory remembers the views of the last few seconds, to determine when no
// earlier home of an endpoint can have a grant outstanding. It does no I/O.
//
// When a home is frozen or cut off and the view makes another instance the
// home, both could grant the same slots; engines would refuse requests as full
// or queue them. So a new home grants nothing before the time that
// noGrantsBefore returns.
type viewHistory struct {
	self   fleet.Owner
	limits Limits
	views  []observedView
	// unknownUntil is when views that this process has not seen no longer
	// matter. It is set at the start and when a view number was skipped.
	unknownUntil time.Time
}

type observedView struct {
	view       fleet.View
	observedAt time.Time
}

func newViewHistory(now time.Time, self fleet.Owner, limits Limits) *viewHistory {
	return &viewHistory{self: self, limits: limits, unknownUntil: now.Add(limits.SettingsLease + limits.GrantLife)}
}

// observe records a view. It reports whether the view is new, and whether one
// between it and the previous view was missed.
func (t *viewHistory) observe(now time.Time, view fleet.View) (fresh, missed bool) {
	last := len(t.views) - 1
	if last >= 0 && view.Number <= t.views[last].view.Number {
		return false, false
	}
	horizon := t.limits.SettingsLease + t.limits.GrantLife
	if last >= 0 && view.Number != t.views[last].view.Number+1 {
		t.unknownUntil = now.Add(horizon)
		t.views = t.views[:0]
		missed = true
	}
	t.views = append(t.views, observedView{view: view, observedAt: now})
	for len(t.views) > 1 && now.Sub(t.views[1].observedAt) > horizon {
		t.views = t.views[1:]
	}
	if len(t.views) > maxViews {
		t.unknownUntil = now.Add(horizon)
		t.views = t.views[len(t.views)-1:]
	}
	return true, missed
}

// noGrantsBefore returns the time from which no other instance can have an
// unconfirmed grant of the endpoint. An earlier home that has left the view had
// lost its lease before, so its last grant ends GrantLife after this process
// saw the view. One that is still in the view may not know the newer view, but
// it stops granting when it was not confirmed Current for SettingsLease.
func (t *viewHistory) noGrantsBefore(endpoint fleet.EndpointID, zone fleet.AvailabilityZone) time.Time {
	until := t.unknownUntil
	for n := range t.views {
		home, ok := fleet.HomeOf(endpoint, zone, t.views[n].view)
		if !ok || home.Owner() == t.self {
			continue
		}
		until = later(until, t.grantsEnd(n, home.Owner()))
	}
	return until
}

// grantsEnd returns when the grants of owner, the home in the n-th view, have
// ended.
func (t *viewHistory) grantsEnd(n int, owner fleet.Owner) time.Time {
	for _, s := range t.views[n+1:] {
		if !s.view.Contains(owner) {
			return s.observedAt.Add(t.limits.GrantLife)
		}
	}
	replaced := t.views[len(t.views)-1].observedAt
	if n+1 < len(t.views) {
		replaced = t.views[n+1].observedAt
	}
	return replaced.Add(t.limits.SettingsLease + t.limits.GrantLife)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
