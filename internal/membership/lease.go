package membership

import "time"

// lease tracks the granted renewals and the confirmed state of this daemon. Its
// methods read no clock. It is not safe for concurrent use.
type lease struct {
	grantedAt     time.Time // send time of the latest granted renewal; zero if none
	duration      time.Duration
	confirmedAt   time.Time // send time of the latest granted renewal whose index is applied; zero if none
	unconfirmed   []pendingConfirmation
	appliedIndex  uint64
	fenced        bool
	leaving       bool
	laggingSince  time.Time // zero if all granted renewals are confirmed
	settingsLease time.Duration
}

// pendingConfirmation is a granted renewal whose index is not applied yet. A
// state that has reached index was up to date when the renewal was sent.
type pendingConfirmation struct {
	sent  time.Time
	index uint64
}

// grant records a granted renewal that was sent at sent. The lease starts at that
// time, since the leader's lease starts later.
func (l *lease) grant(sent, now time.Time, length time.Duration, index uint64) {
	if sent.After(l.grantedAt) {
		l.grantedAt = sent
		l.duration = length
	}
	l.unconfirmed = append(l.unconfirmed, pendingConfirmation{sent: sent, index: index})
	if len(l.unconfirmed) > maxUnconfirmed {
		l.unconfirmed = l.unconfirmed[1:]
	}
	l.confirm(now)
}

// apply records that the state has reached index.
func (l *lease) apply(now time.Time, index uint64) {
	l.appliedIndex = max(l.appliedIndex, index)
	l.confirm(now)
}

func (l *lease) confirm(now time.Time) {
	rest := l.unconfirmed[:0]
	for _, c := range l.unconfirmed {
		if c.index > l.appliedIndex {
			rest = append(rest, c)
			continue
		}
		if c.sent.After(l.confirmedAt) {
			l.confirmedAt = c.sent
		}
	}
	l.unconfirmed = rest
	switch {
	case len(rest) == 0:
		l.laggingSince = time.Time{}
	case l.laggingSince.IsZero():
		l.laggingSince = now
	}
}

// current reports whether both leases are valid at now.
func (l *lease) current(now time.Time) bool {
	if l.fenced || l.leaving || l.grantedAt.IsZero() || l.confirmedAt.IsZero() {
		return false
	}
	return elapsed(l.grantedAt, now) < l.duration && elapsed(l.confirmedAt, now) < l.settingsLease
}

// lagging reports whether the state has been behind the granted renewals for more
// than a third of the settings lease, so that the control instance that answers
// pulls is probably partitioned or slow.
func (l *lease) lagging(now time.Time) bool {
	return !l.laggingSince.IsZero() && now.Sub(l.laggingSince) > l.settingsLease/3
}
