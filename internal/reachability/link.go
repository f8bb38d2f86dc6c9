package reachability

import (
	"sync/atomic"
	"time"
)

// Link is the link to one address.
type Link struct {
	tracker *Tracker
	address string
	heardNs atomic.Int64 // when bytes last arrived, or a connection opened, Unix ns

	// The fields below are guarded by tracker.mu.
	loss     Loss
	lostAt   time.Time // when it was lost in this way
	usedAt   time.Time
	probedAt time.Time // when a direct connection was last tried over the lost link
	// relayErr is what the relay said of the endpoint at relayErrAt; nil for nothing.
	relayErr   error
	relayErrAt time.Time
}

// Opened records that a new connection was opened.
func (l *Link) Opened(now time.Time) {
	l.heardNs.Store(now.UnixNano())
	l.tracker.heardNs.Store(now.UnixNano())
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.relayErr = nil
	l.tracker.setLoss(l, now, NotLost)
	l.tracker.recordHeard(now)
}

// Heard records that bytes arrived over an open connection. New ones may fail all the same.
func (l *Link) Heard(now time.Time) {
	l.heardNs.Store(now.UnixNano())
	l.tracker.heardNs.Store(now.UnixNano())
	if !l.tracker.troubled.Load() {
		return
	}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.recordHeard(now)
}

// HeardSince reports whether bytes arrived over the link, or a connection opened, since a time.
func (l *Link) HeardSince(since time.Time) bool { return l.heardNs.Load() >= since.UnixNano() }

// Failed records that the link is lost; NotLost is ignored.
func (l *Link) Failed(now time.Time, loss Loss) {
	if loss == NotLost {
		return
	}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.setLoss(l, now, loss)
	l.tracker.recordUnheard(l, now)
}

// minUnanswered is how long a dial must have waited for its end to show a lost link: its
// caller's time may have been up sooner.
const minUnanswered = 100 * time.Millisecond

// recordDialFailure records a dial that began at a time and failed.
func (l *Link) recordDialFailure(began time.Time, err error) {
	now := time.Now()
	loss := LossOfDial(err)
	if loss == Unanswered && now.Sub(began) < minUnanswered && !isUnreachable(err) {
		return
	}
	l.Failed(now, loss)
}

// Loss returns how the link is lost. If the process is cut off from all endpoints, a link over
// which nothing was heard since counts as Unanswered.
func (l *Link) Loss() Loss {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.loss == NotLost && l.tracker.isCutOff() && l.heardNs.Load() < l.tracker.cutOffSince.UnixNano() {
		return Unanswered
	}
	return l.loss
}

// CarriesOpen reports whether connections that are open may still be used: the link works,
// refuses new ones only, or brought bytes since new ones got no answer.
func (l *Link) CarriesOpen() bool {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	heard := l.heardNs.Load()
	switch {
	case l.loss == Unanswered:
		return heard > l.lostAt.UnixNano()
	case l.loss == NotLost && l.tracker.isCutOff():
		return heard >= l.tracker.cutOffSince.UnixNano()
	}
	return true
}

// ShowsEnds reports whether the end of an open connection would show here. It is false if the
// link may be lost both ways: new connections get no answer, or the process is cut off, and no
// bytes came since.
func (l *Link) ShowsEnds() bool {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	heard := l.heardNs.Load()
	if l.loss == Unanswered && heard <= l.lostAt.UnixNano() {
		return false
	}
	return !l.tracker.isCutOff() || heard >= l.tracker.cutOffSince.UnixNano()
}

// beginProbe reports whether a direct connection is to be tried now to find out whether the
// link works again.
func (l *Link) beginProbe(now time.Time) bool {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if now.Sub(l.probedAt) < probeInterval {
		return false
	}
	l.probedAt = now
	return true
}

// recordRelayFailure records that the relay could not connect to the endpoint either.
func (l *Link) recordRelayFailure(now time.Time, err error) {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.relayErr, l.relayErrAt = err, now
}

// relayFailure returns what the relay said of the endpoint a moment ago; nil for nothing.
func (l *Link) relayFailure(now time.Time) error {
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if now.Sub(l.relayErrAt) < probeInterval {
		return l.relayErr
	}
	return nil
}

// msSinceHeard returns the milliseconds since bytes last arrived; -1 if none ever did.
func (l *Link) msSinceHeard(now time.Time) int64 {
	heard := l.heardNs.Load()
	if heard == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, heard)).Milliseconds()
}
