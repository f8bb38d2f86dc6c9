package endpointlimit

import "time"

// idleRetention is how long the state of a share without requests is kept. By then a new
// state earns as many permits.
const idleRetention = time.Minute

// Ledger tracks one limit server's shares of endpoints' limits. It is not safe for concurrent
// use.
type Ledger struct {
	startedAt time.Time
	shares    map[Endpoint]*shareState
	cleanedAt time.Time
}

// NewLedger returns the Ledger of a limit server that starts now. It has saved up no permits,
// since it doesn't know which ones were granted before its start.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{startedAt: now, shares: map[Endpoint]*shareState{}, cleanedAt: now}
}

// TakeResult is the answer to a request for a permit.
type TakeResult struct {
	Granted    bool
	RetryAfter time.Duration // delay until a retry, if not granted
	Limit      KnownLimit    // latest known limit; if not limited, no permit is needed
}

// Take requests a permit for one request to an endpoint. known is the entry's view of the
// endpoint's limit, and share the limit server's share of it.
func (l *Ledger) Take(now time.Time, e Endpoint, known KnownLimit, share Share) TakeResult {
	s := l.shareStateOf(now, e, known, share)
	if !s.limit.Limited {
		return TakeResult{Limit: s.limit}
	}
	s.fill(now, share)
	granted, retryAfter := s.take(share)
	return TakeResult{Granted: granted, RetryAfter: retryAfter, Limit: s.limit}
}

// UpdateLimit records an entry's view of an endpoint's limit.
func (l *Ledger) UpdateLimit(now time.Time, e Endpoint, known KnownLimit, share Share) {
	l.shareStateOf(now, e, known, share)
}

func (l *Ledger) shareStateOf(now time.Time, e Endpoint, known KnownLimit, share Share) *shareState {
	l.removeIdle(now)
	s := l.shares[e]
	if s == nil {
		s = newShareState(now, l.startedAt, known, share)
		l.shares[e] = s
	}
	s.lastRequest = now
	s.limit.merge(known)
	return s
}

func (l *Ledger) removeIdle(now time.Time) {
	if now.Sub(l.cleanedAt) < idleRetention {
		return
	}
	l.cleanedAt = now
	for e, s := range l.shares {
		if now.Sub(s.lastRequest) > idleRetention {
			delete(l.shares, e)
		}
	}
}
