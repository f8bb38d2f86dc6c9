package outcome

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Limits bound the records of a replica.
type Limits struct {
	RecordLife time.Duration // counted from a record's last change
	MaxRecords int           // per shard
}

// DefaultLimits suit a shard of a large fleet. The RecordLife of the settings takes
// precedence.
var DefaultLimits = Limits{RecordLife: 10 * time.Minute, MaxRecords: 200_000}

// record is an acceptor's state for one key. It has no field for a request body.
type record struct {
	promised  Ballot
	stored    StoredRecord // Age is unused
	changedAt time.Time
}

// expiryEntry schedules the expiry check of a key. Each record has exactly one entry in
// the queue.
type expiryEntry struct {
	key       Key
	changedAt time.Time
}

// Acceptor holds a replica's records of one shard and is the acceptor in the consensus
// for each key. It is not safe for concurrent use.
type Acceptor struct {
	limits      Limits
	records     map[Key]*record
	expiryQueue []expiryEntry // oldest first
}

// NewAcceptor returns an acceptor without records.
func NewAcceptor(limits Limits) *Acceptor {
	return &Acceptor{limits: limits, records: make(map[Key]*record)}
}

// SetRecordLife changes how long records live, existing ones included.
func (a *Acceptor) SetRecordLife(life time.Duration) { a.limits.RecordLife = life }

// Len returns the number of records.
func (a *Acceptor) Len() int { return len(a.records) }

// Prepare promises to accept no ballot below b for the key and returns what was
// accepted so far.
func (a *Acceptor) Prepare(now time.Time, key Key, b Ballot) Reply {
	r := a.liveRecord(now, key)
	if r == nil {
		if a.full(now) {
			return Reply{Status: ReplyFull}
		}
		r = a.createOrReset(now, key)
	}
	// A proposer with a lower ballot must be refused: if both were answered, each could
	// win a majority for its own attempt and the request would run twice.
	if b.Compare(r.promised) < 0 {
		return Reply{Status: ReplyRefused, Promised: r.promised, Record: r.snapshot(now)}
	}
	r.promised = b
	return Reply{Status: ReplyOK, Record: r.snapshot(now)}
}

// Accept accepts decision d at ballot b unless a higher ballot was promised. On the
// fast ballot, which all proposers share, only the first value is accepted.
func (a *Acceptor) Accept(now time.Time, key Key, b Ballot, d Decision, endpoint fleet.EndpointID) Reply {
	r := a.liveRecord(now, key)
	if r == nil {
		if a.full(now) {
			return Reply{Status: ReplyFull}
		}
		r = a.createOrReset(now, key)
	}
	same := r.stored.Decision == d
	switch {
	case b.Compare(r.promised) < 0,
		r.stored.HasOutcome() && !same,
		b.Fast() && r.stored.HasDecision() && (!same || r.stored.Accepted != b):
		return Reply{Status: ReplyRefused, Promised: r.promised, Record: r.snapshot(now)}
	}
	r.promised = b
	r.stored.Accepted = b
	if !same {
		r.stored.Decision = d
		r.stored.Endpoint = endpoint
	}
	r.changedAt = now
	return Reply{Status: ReplyOK, Record: r.snapshot(now)}
}

// Finish records the outcome of an attempt whose intent was decided. The record may be
// new here, since the replica may have been unreachable when the intent was decided. An
// outcome recorded earlier is kept.
func (a *Acceptor) Finish(now time.Time, key Key, end StoredRecord) Reply {
	r := a.liveRecord(now, key)
	if r == nil {
		if a.full(now) {
			return Reply{Status: ReplyFull}
		}
		r = a.createOrReset(now, key)
	}
	if !r.stored.HasOutcome() {
		end.Accepted = r.stored.Accepted
		r.stored = end
		r.changedAt = now
	}
	return Reply{Status: ReplyOK, Record: r.snapshot(now)}
}

// Lookup returns what was accepted, without making a promise.
func (a *Acceptor) Lookup(now time.Time, key Key) Reply {
	r := a.liveRecord(now, key)
	if r == nil {
		return Reply{Status: ReplyOK}
	}
	return Reply{Status: ReplyOK, Record: r.snapshot(now)}
}

// Expire processes up to limit due entries of the expiry queue and returns the number
// of records dropped.
func (a *Acceptor) Expire(now time.Time, limit int) int {
	before := len(a.records)
	for range limit {
		if !a.expireOne(now) {
			break
		}
	}
	return before - len(a.records)
}

func (r *record) snapshot(now time.Time) StoredRecord {
	stored := r.stored
	stored.Age = max(0, now.Sub(r.changedAt))
	return stored
}

// liveRecord returns the key's record, or nil if there is none or it has expired.
func (a *Acceptor) liveRecord(now time.Time, key Key) *record {
	r, ok := a.records[key]
	if !ok || now.Sub(r.changedAt) >= a.limits.RecordLife {
		return nil
	}
	return r
}

// createOrReset creates the key's record, or clears an expired one.
func (a *Acceptor) createOrReset(now time.Time, key Key) *record {
	r, old := a.records[key]
	if old {
		*r = record{changedAt: now}
		return r
	}
	r = &record{changedAt: now}
	a.records[key] = r
	a.expiryQueue = append(a.expiryQueue, expiryEntry{key: key, changedAt: now})
	return r
}

// full drops expired records as needed and reports whether there is still no room for a
// new key. A live record is never dropped for a new one: dropping an intent would let
// its request run twice.
func (a *Acceptor) full(now time.Time) bool {
	for len(a.records) >= a.limits.MaxRecords {
		if !a.expireOne(now) {
			return true
		}
	}
	return false
}

// expireOne processes the oldest queue entry and reports whether it was due. The record
// is dropped, or queued again if it has changed since.
func (a *Acceptor) expireOne(now time.Time) bool {
	if len(a.expiryQueue) == 0 || now.Sub(a.expiryQueue[0].changedAt) < a.limits.RecordLife {
		return false
	}
	entry := a.expiryQueue[0]
	a.expiryQueue = a.expiryQueue[1:]
	r := a.records[entry.key]
	if now.Sub(r.changedAt) >= a.limits.RecordLife {
		delete(a.records, entry.key)
		return true
	}
	a.expiryQueue = append(a.expiryQueue, expiryEntry{key: entry.key, changedAt: r.changedAt})
	return true
}
