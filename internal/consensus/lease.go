package consensus

import "time"

// lease tracks heartbeat rounds: which was sent when, and until when the
// answers of a quorum forbid another leader.
type lease struct {
	round     uint64      // newest round sent
	confirmed uint64      // newest round a quorum answered
	sent      []time.Time // sending times of the rounds after confirmed
	until     time.Time
	given     bool // handed over: never live again in this term
}

// maxOpenRounds bounds the rounds kept that no quorum answered. A leader
// steps down long before that many are open; older ones are just forgotten.
const maxOpenRounds = 256

func (l *lease) start(now time.Time) uint64 {
	l.round++
	l.sent = append(l.sent, now)
	if len(l.sent) > maxOpenRounds {
		l.confirmed++
		l.sent = l.sent[1:]
	}
	return l.round
}

// live tells whether no other leader can exist at now. The monotonic clock
// stands still while a virtual machine is suspended, and the host's clock may
// be set back; a lease is over as soon as either says so.
func (l *lease) live(now time.Time) bool {
	return !l.given && now.Before(l.until) && now.Round(0).Before(l.until.Round(0))
}

// confirm takes in that a quorum answered round; the lease counts from the
// moment the round was sent, for no answer began to bind later than that.
func (l *lease) confirm(round uint64, length time.Duration) bool {
	if round <= l.confirmed || round > l.round {
		return false
	}
	sent := l.sent[round-l.confirmed-1]
	l.sent = l.sent[round-l.confirmed:]
	l.confirmed = round
	l.until = sent.Add(length)
	return true
}
