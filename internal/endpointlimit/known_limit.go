package endpointlimit

import "time"

// KnownLimit is the latest known limit of one endpoint. The zero KnownLimit is that of an
// endpoint which never named a limit.
type KnownLimit struct {
	Limited   bool
	PerSecond float64 // requests a second
	// AsOf is when it was valid: the arrival of an answer that named a limit, or the sending
	// of the request whose answer named none.
	//
	// Answers may arrive out of order: one that names no limit may have been made before
	// the one that arrived first. The answer to a request that was sent after a limit was
	// known was made after it.
	AsOf time.Time
}

// update records the signal of an answer to a request that was sent at sent, and reports
// whether the limit changed.
func (l *KnownLimit) update(now, sent time.Time, signal Signal) bool {
	before := *l
	switch {
	case signal.Kind == KindLimit:
		*l = KnownLimit{Limited: true, PerSecond: signal.PerSecond, AsOf: now}
	case signal.Kind == KindNone && l.Limited && sent.After(l.AsOf):
		*l = KnownLimit{AsOf: sent}
	}
	return l.Limited != before.Limited || l.PerSecond != before.PerSecond
}

// merge adopts what another process knows if that is newer.
func (l *KnownLimit) merge(other KnownLimit) {
	if other.AsOf.After(l.AsOf) {
		*l = other
	}
}
