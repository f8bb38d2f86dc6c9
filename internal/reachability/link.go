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
	loss   Loss
	lostAt time.Time
	usedAt time.Time
}

// Opened records that a new connection was opened.
func (l *Link) Opened(now time.Time) {
	l.heardNs.Store(now.UnixNano())
	l.tracker.heardNs.Store(now.UnixNano())
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	l.tracker.setLoss(l, now, NotLost)
	l.tracker.recordHeard(now)
}

// Heard records that bytes arrived over an open connection.
func (l *Link) Heard(now time.Time) {
	l.heardNs.Store(now.UnixNano())
	l.tracker.heardNs.Store(now.UnixNano())
	if !l.tracker.troubled.Load() {
		return
	}
	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()
	if l.loss != Refused {
		l.tracker.setLoss(l, now, NotLost)
	}
	l.tracker.recordHeard(now)
}

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

// msSinceHeard returns the milliseconds since bytes last arrived; -1 if none ever did.
func (l *Link) msSinceHeard(now time.Time) int64 {
	heard := l.heardNs.Load()
	if heard == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, heard)).Milliseconds()
}
