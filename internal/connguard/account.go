package connguard

import "time"

const (
	// idleAfterUse is the weight of the time for which a connection is idle that has carried a
	// request. Its client is likelier to send another one than the client of an unused connection.
	idleAfterUse = 1.0 / 16
	// leastWait is the wait of a connection whose client keeps up. It lets those that hold most
	// go first where no client is late.
	leastWait = 50 * time.Millisecond
	// arrivalTime is how long the parts of an ordinary request take at most, one after the other.
	arrivalTime = 25 * time.Millisecond
)

// Account is what one connection holds. Its fields belong to its Ledger.
type Account struct {
	ledger *Ledger
	index  int // in ledger.accounts; -1 when it is closed
	// evict ends the connection. It is called once, without locks.
	evict func(Eviction)

	phase     Phase
	used      bool      // a request has ended
	shared    bool      // requests are served side by side
	heavy     bool      // it uses much processor time
	since     time.Time // of the phase
	received  int64     // bytes of the part that is received
	heardAt   time.Time // when the latest of them arrived
	sendingAt time.Time // since when the client takes a part of a response; zero if it takes none
	base      int64     // bytes of the connection itself
	held      int64     // bytes of its requests
	evicted   bool
	pending   bool // evicted, and its request is still refused
}

// wait returns how long the connection has waited for its client without need: since its last bytes,
// or longer if it sends too slowly; 0 if it waits for this process.
func (a *Account) wait(now time.Time) time.Duration {
	switch {
	case !a.sendingAt.IsZero():
		return now.Sub(a.sendingAt)
	case a.phase == Serving:
		return 0
	case a.phase.isReceiving():
		return max(now.Sub(a.heardAt), a.lateness(now))
	case a.used:
		return time.Duration(idleAfterUse * float64(now.Sub(a.since)))
	}
	return now.Sub(a.since)
}

// lateness returns how much longer the part that is received takes than it may.
func (a *Account) lateness(now time.Time) time.Duration {
	rate := a.ledger.limits.BytesPerSecond
	if rate <= 0 {
		return 0
	}
	return max(0, now.Sub(a.since)-time.Duration(float64(a.received)/float64(rate)*float64(time.Second)))
}

// waitsForClient reports whether the connection waits for its client.
func (a *Account) waitsForClient() bool { return a.phase != Serving || !a.sendingAt.IsZero() }

// rankWith orders connections that may be closed to make room: by what they hold, with bytes more, and
// for how long they have held it without need. The highest goes first; 0 is never closed.
func (a *Account) rankWith(now time.Time, bytes int64) float64 {
	if a.evicted || !a.waitsForClient() {
		return 0
	}
	return float64(a.base+a.held+bytes+1) * (a.wait(now) + leastWait).Seconds()
}

// precedes reports whether a connection goes before another one, whatever the two hold: more of its
// request has arrived, it doesn't use much processor time, and the other one has had a moment.
func (a *Account) precedes(now time.Time, other *Account) bool {
	return !a.heavy && a.phase > other.phase && other.wait(now) > arrivalTime
}
