package membership

import "time"

// lease is this daemon's pure record of what was granted and confirmed.
type lease struct {
	granted       time.Time // send time of the newest granted renewal; zero: none
	length        time.Duration
	confirmed     time.Time // send time of the newest renewal whose index is applied; zero: none
	unconfirmed   []confirmation
	applied       uint64
	fenced        bool
	leaving       bool
	behindSince   time.Time // zero: the newest answered renewal is confirmed
	settingsLease time.Duration
}

// confirmation is a granted renewal: whoever has applied index was current
// when it was sent.
type confirmation struct {
	sent  time.Time
	index uint64
}

// grant takes the answer to the renewal that was sent at sent. The lease
// counts from then: the leader's count began later.
func (l *lease) grant(sent, now time.Time, length time.Duration, index uint64) {
	if sent.After(l.granted) {
		l.granted = sent
		l.length = length
	}
	l.unconfirmed = append(l.unconfirmed, confirmation{sent: sent, index: index})
	if len(l.unconfirmed) > maxUnconfirmed {
		l.unconfirmed = l.unconfirmed[1:]
	}
	l.confirm(now)
}

// apply notes that the state has reached index.
func (l *lease) apply(now time.Time, index uint64) {
	l.applied = max(l.applied, index)
	l.confirm(now)
}

func (l *lease) confirm(now time.Time) {
	rest := l.unconfirmed[:0]
	for _, c := range l.unconfirmed {
		if c.index > l.applied {
			rest = append(rest, c)
			continue
		}
		if c.sent.After(l.confirmed) {
			l.confirmed = c.sent
		}
	}
	l.unconfirmed = rest
	switch {
	case len(rest) == 0:
		l.behindSince = time.Time{}
	case l.behindSince.IsZero():
		l.behindSince = now
	}
}

// current tells whether both leases hold at now.
func (l *lease) current(now time.Time) bool {
	if l.fenced || l.leaving || l.granted.IsZero() || l.confirmed.IsZero() {
		return false
	}
	return elapsed(l.granted, now) < l.length && elapsed(l.confirmed, now) < l.settingsLease
}

// lagging tells that pulls have not brought a confirmed index for a third of
// the settings lease: the member asked is cut off or slow.
func (l *lease) lagging(now time.Time) bool {
	return !l.behindSince.IsZero() && now.Sub(l.behindSince) > l.settingsLease/3
}
