package outcome

import (
	"slices"
	"sort"
	"time"
)

// CopiedRecord is a record that is copied to another replica.
type CopiedRecord struct {
	Key    Key
	Record StoredRecord
}

// acceptedKeys returns the sorted keys of the live records that have an accepted
// decision.
func (a *Acceptor) acceptedKeys(now time.Time) []Key {
	keys := make([]Key, 0, len(a.records))
	for k := range a.records {
		if r := a.liveRecord(now, k); r != nil && r.stored.HasDecision() {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

// page returns up to limit records of the sorted keys, starting after the given key
// (nil: from the first), and whether these are the last.
func (a *Acceptor) page(now time.Time, keys []Key, after *Key, limit int) (records []CopiedRecord, done bool) {
	first := 0
	if after != nil {
		first = sort.Search(len(keys), func(n int) bool { return keys[n].compare(*after) > 0 })
	}
	last := min(len(keys), first+limit)
	for _, k := range keys[first:last] {
		if r := a.liveRecord(now, k); r != nil {
			records = append(records, CopiedRecord{Key: k, Record: r.snapshot(now)})
		}
	}
	return records, last == len(keys)
}

// Merge takes over a record that another replica accepted at this epoch or an earlier
// one. A record with an outcome takes precedence, then the one with the higher ballot,
// so that a decided value is kept. Promises aren't copied, since the ballots of a later
// epoch are all higher. Merge returns false if there is no room.
func (a *Acceptor) Merge(now time.Time, c CopiedRecord) bool {
	if c.Record.Age >= a.limits.RecordLife || !c.Record.HasDecision() {
		return true
	}
	r := a.liveRecord(now, c.Key)
	if r == nil {
		if a.full(now) {
			return false
		}
		r = a.createOrReset(now, c.Key)
	}
	if !c.Record.supersedes(r.stored) {
		return true
	}
	existed := r.stored.HasDecision()
	age := c.Record.Age
	r.stored = c.Record
	r.stored.Age = 0
	changed := now.Add(-age)
	// Keep the younger age: a record must not expire here while another replica still
	// relies on it.
	if !existed || changed.After(r.changedAt) {
		r.changedAt = changed
	}
	return true
}
