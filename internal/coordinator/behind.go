package coordinator

import (
	"sync"
	"time"
)

// behindThreshold is how long an entry may have an older configuration before it counts
// as behind: distributing a change takes some tenths of a second.
const behindThreshold = 2 * time.Second

// entryVersions keeps the configuration version in force at each entry that polls this
// member. It serves the metrics and the pace of polls. Its lock is a leaf.
type entryVersions struct {
	mu        sync.Mutex
	entries   map[string]entryVersion
	applied   []appliedVersion // oldest first; once older than behindThreshold, the first is what entries must have
	lastSweep time.Time        // when silent entries were last removed
}

// entryVersion is the version that an entry reported last.
type entryVersion struct {
	version    int64
	reportedAt time.Time
}

// appliedVersion is a version and the time at which this member applied it.
type appliedVersion struct {
	version   int64
	appliedAt time.Time
}

func newEntryVersions() *entryVersions {
	return &entryVersions{entries: map[string]entryVersion{}}
}

// record stores the version that an entry reports while newest is in force at this
// member.
func (v *entryVersions) record(entry string, version, newest int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateApplied(newest, now)
	v.removeSilent(now)
	v.entries[entry] = entryVersion{version: version, reportedAt: now}
}

// behind counts the entries that reported a version older than one in force for at least
// behindThreshold. Entries that have not polled this member within entryTimeout don't
// count: they poll other members, or have stopped.
func (v *entryVersions) behind(newest int64, now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateApplied(newest, now)
	settled := int64(0)
	if first := v.applied[0]; now.Sub(first.appliedAt) >= behindThreshold {
		settled = first.version
	}
	behind := 0
	for _, e := range v.entries {
		if now.Sub(e.reportedAt) <= entryTimeout && e.version < settled {
			behind++
		}
	}
	return behind
}

// polling returns how many entries poll this member. While a fleet starts, polls are all
// that it knows of them.
func (v *entryVersions) polling(now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.removeSilent(now)
	return len(v.entries)
}

// removeSilent removes the entries that have not polled for entryTimeout. It is called
// with v.mu held. It runs as other entries are recorded: each start of an entry has an ID
// of its own, and the metrics may never be read.
func (v *entryVersions) removeSilent(now time.Time) {
	if now.Sub(v.lastSweep) < entryTimeout {
		return
	}
	v.lastSweep = now
	for id, e := range v.entries {
		if now.Sub(e.reportedAt) > entryTimeout {
			delete(v.entries, id)
		}
	}
}

// updateApplied adds the newest version and drops those that a later version has replaced
// for at least behindThreshold. It is called with v.mu held.
func (v *entryVersions) updateApplied(newest int64, now time.Time) {
	if len(v.applied) == 0 || v.applied[len(v.applied)-1].version < newest {
		v.applied = append(v.applied, appliedVersion{version: newest, appliedAt: now})
	}
	for len(v.applied) > 1 && now.Sub(v.applied[1].appliedAt) >= behindThreshold {
		v.applied = v.applied[1:]
	}
}
