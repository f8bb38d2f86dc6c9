package outcome

import (
	"slices"
	"sort"
	"time"
)

// CopiedRecord is a record on its way to another replica.
type CopiedRecord struct {
	Key  Key
	Held Held
}

// keys gives the keys that have something accepted, sorted.
func (a *Acceptor) keys(now time.Time) []Key {
	keys := make([]Key, 0, len(a.records))
	for k := range a.records {
		if r := a.live(now, k); r != nil && r.held.Found() {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, Key.compare)
	return keys
}

// page gives up to limit records of the sorted keys after the given one, and
// whether these are the last.
func (a *Acceptor) page(now time.Time, keys []Key, after *Key, limit int) (records []CopiedRecord, done bool) {
	first := 0
	if after != nil {
		first = sort.Search(len(keys), func(n int) bool { return keys[n].compare(*after) > 0 })
	}
	last := min(len(keys), first+limit)
	for _, k := range keys[first:last] {
		if r := a.live(now, k); r != nil {
			records = append(records, CopiedRecord{Key: k, Held: r.at(now)})
		}
	}
	return records, last == len(keys)
}

// Merge takes over what another replica of an earlier epoch, or of this one,
// has accepted. An outcome comes first, then the higher ballot: so a value
// decided there stands here too. Promises aren't copied, since the ballots of
// a later epoch are all higher. It gives false when there is no room.
func (a *Acceptor) Merge(now time.Time, c CopiedRecord) bool {
	if c.Held.Age >= a.limits.RecordLife || !c.Held.Found() {
		return true
	}
	r := a.live(now, c.Key)
	if r == nil {
		if a.full(now) {
			return false
		}
		r = a.add(now, c.Key)
	}
	if !c.Held.supersedes(r.held) {
		return true
	}
	fresh := r.held.Found()
	age := c.Held.Age
	r.held = c.Held
	r.held.Age = 0
	changed := now.Add(-age)
	// The younger age holds: a record must not vanish here while another
	// replica still counts on it.
	if !fresh || changed.After(r.changed) {
		r.changed = changed
	}
	return true
}
