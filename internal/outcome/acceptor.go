package outcome

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Limits bound a replica's records.
type Limits struct {
	RecordLife time.Duration // since a record's last change
	MaxRecords int           // of one shard
}

// DefaultLimits are for a shard of a large fleet; RecordLife follows the
// settings.
var DefaultLimits = Limits{RecordLife: 10 * time.Minute, MaxRecords: 200_000}

// record is what a replica keeps for a key. It has no field for a body.
type record struct {
	promised Ballot
	held     Held // Age is unused
	changed  time.Time
}

// ageMark asks to look at a key's age; each record has one mark in the queue.
type ageMark struct {
	key  Key
	when time.Time
}

// Acceptor is a replica's table of one shard: the acceptor's half of the
// consensus for each key. It is not safe for concurrent use.
type Acceptor struct {
	limits  Limits
	records map[Key]*record
	marks   []ageMark // oldest first
}

// NewAcceptor makes an empty table.
func NewAcceptor(limits Limits) *Acceptor {
	return &Acceptor{limits: limits, records: make(map[Key]*record)}
}

// SetRecordLife changes how long records live from now on.
func (a *Acceptor) SetRecordLife(life time.Duration) { a.limits.RecordLife = life }

// Len gives the number of records.
func (a *Acceptor) Len() int { return len(a.records) }

// Prepare promises to take no ballot below b for the key, and tells what was
// accepted.
func (a *Acceptor) Prepare(now time.Time, key Key, b Ballot) Reply {
	r := a.live(now, key)
	if r == nil {
		if a.full(now) {
			return Reply{Status: ReplyFull}
		}
		r = a.add(now, key)
	}
	// A proposer with a lower ballot must learn that it lost: were both
	// answered, each could get a majority for its own attempt and the request
	// would run twice.
	if b.Compare(r.promised) < 0 {
		return Reply{Status: ReplyRefused, Promised: r.promised, Held: r.at(now)}
	}
	r.promised = b
	return Reply{Status: ReplyOK, Held: r.at(now)}
}

// Accept takes decision d at ballot b unless a higher ballot was promised. On
// the fast ballot only the first value is taken, since that ballot has many
// proposers.
func (a *Acceptor) Accept(now time.Time, key Key, b Ballot, d Decision, endpoint fleet.EndpointID) Reply {
	r := a.live(now, key)
	if r == nil {
		if a.full(now) {
			return Reply{Status: ReplyFull}
		}
		r = a.add(now, key)
	}
	same := r.held.Decision == d
	switch {
	case b.Compare(r.promised) < 0,
		r.held.Ended() && !same,
		b.Fast() && r.held.Found() && (!same || r.held.Accepted != b):
		return Reply{Status: ReplyRefused, Promised: r.promised, Held: r.at(now)}
	}
	r.promised = b
	r.held.Accepted = b
	if !same {
		r.held.Decision = d
		r.held.Endpoint = endpoint
	}
	r.changed = now
	return Reply{Status: ReplyOK, Held: r.at(now)}
}

// Finish records the end of an attempt whose intent was decided. The record
// may be new here: the replica may have been out of reach when the intent was
// decided. The first outcome stays.
func (a *Acceptor) Finish(now time.Time, key Key, end Held) Reply {
	r := a.live(now, key)
	if r == nil {
		if a.full(now) {
			return Reply{Status: ReplyFull}
		}
		r = a.add(now, key)
	}
	if !r.held.Ended() {
		end.Accepted = r.held.Accepted
		r.held = end
		r.changed = now
	}
	return Reply{Status: ReplyOK, Held: r.at(now)}
}

// Lookup tells what was accepted, and promises nothing.
func (a *Acceptor) Lookup(now time.Time, key Key) Reply {
	r := a.live(now, key)
	if r == nil {
		return Reply{Status: ReplyOK}
	}
	return Reply{Status: ReplyOK, Held: r.at(now)}
}

// Expire drops up to limit records that have outlived RecordLife, and gives
// the number dropped.
func (a *Acceptor) Expire(now time.Time, limit int) int {
	before := len(a.records)
	for range limit {
		if !a.expireOne(now) {
			break
		}
	}
	return before - len(a.records)
}

func (r *record) at(now time.Time) Held {
	h := r.held
	h.Age = max(0, now.Sub(r.changed))
	return h
}

// live gives the key's record unless it has outlived RecordLife.
func (a *Acceptor) live(now time.Time, key Key) *record {
	r, ok := a.records[key]
	if !ok || now.Sub(r.changed) >= a.limits.RecordLife {
		return nil
	}
	return r
}

// add makes the key's record, or empties one that has outlived its life.
func (a *Acceptor) add(now time.Time, key Key) *record {
	r, old := a.records[key]
	if old {
		*r = record{changed: now}
		return r
	}
	r = &record{changed: now}
	a.records[key] = r
	a.marks = append(a.marks, ageMark{key: key, when: now})
	return r
}

// full tells whether there is no room for a new key. A live record is never
// dropped for a new one: dropping an intent would let its request run twice.
func (a *Acceptor) full(now time.Time) bool {
	for len(a.records) >= a.limits.MaxRecords {
		if !a.expireOne(now) {
			return true
		}
	}
	return false
}

// expireOne handles the oldest mark if it is due: the record goes, or if it
// changed since, its mark goes to the end of the queue.
func (a *Acceptor) expireOne(now time.Time) bool {
	if len(a.marks) == 0 || now.Sub(a.marks[0].when) < a.limits.RecordLife {
		return false
	}
	mark := a.marks[0]
	a.marks = a.marks[1:]
	r := a.records[mark.key]
	if now.Sub(r.changed) >= a.limits.RecordLife {
		delete(a.records, mark.key)
		return true
	}
	a.marks = append(a.marks, ageMark{key: mark.key, when: r.changed})
	return true
}
