package consensus

import "time"

// lease tracks the heartbeat rounds and the time until which the answers of a
// quorum rule out another leader.
type lease struct {
	round       uint64      // latest round sent
	confirmed   uint64      // latest round answered by a quorum
	sentAt      []time.Time // send times of the rounds after confirmed
	expires     time.Time
	transferred bool // leadership transfer began: not valid again in this term
}

// maxOpenRounds limits the unconfirmed rounds that are kept; older ones are
// dropped. A leader steps down long before it reaches the limit.
const maxOpenRounds = 256

func (l *lease) start(now time.Time) uint64 {
	l.round++
	l.sentAt = append(l.sentAt, now)
	if len(l.sentAt) > maxOpenRounds {
		l.confirmed++
		l.sentAt = l.sentAt[1:]
	}
	return l.round
}

// valid reports whether no other leader can exist at now. The monotonic clock
// stops while a virtual machine is suspended, and the wall clock may be set
// back, so the lease must be unexpired by both clocks.
func (l *lease) valid(now time.Time) bool {
	return !l.transferred && now.Before(l.expires) && now.Round(0).Before(l.expires.Round(0))
}

// confirm records that a quorum answered round and reports whether this is new.
// The lease starts when the round was sent: the members received it no earlier,
// and none of them votes within an election timeout of receiving it.
func (l *lease) confirm(round uint64, length time.Duration) bool {
	if round <= l.confirmed || round > l.round {
		return false
	}
	sent := l.sentAt[round-l.confirmed-1]
	l.sentAt = l.sentAt[round-l.confirmed:]
	l.confirmed = round
	l.expires = sent.Add(length)
	return true
}
