package coordinator

import (
	"sync"
	"time"
)

// behindAfter is how long an entry may have an older configuration before it
// counts as behind: a change is on its way for some tenths of a second.
const behindAfter = 2 * time.Second

// entryVersions remembers which version of the configuration is in force at the
// entries that ask this member, for operators alone. Its lock is a leaf.
type entryVersions struct {
	mu      sync.Mutex
	entries map[string]entryVersion
	newest  []newestVersion // oldest first; the first is the last that has settled
	swept   time.Time       // when silent entries were last forgotten
}

// entryVersion is what one entry told last.
type entryVersion struct {
	version int64
	told    time.Time
}

// newestVersion is a version with when this member applied it.
type newestVersion struct {
	version int64
	at      time.Time
}

func newEntryVersions() *entryVersions {
	return &entryVersions{entries: map[string]entryVersion{}}
}

// heard notes what an entry tells while newest is in force at this member.
func (v *entryVersions) heard(entry string, version, newest int64, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(newest, now)
	v.forgetSilent(now)
	v.entries[entry] = entryVersion{version: version, told: now}
}

// behind counts the entries whose version had been replaced for behindAfter when
// they told it last. Those that are silent here don't count: they ask others, or are
// gone.
func (v *entryVersions) behind(newest int64, now time.Time) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settle(newest, now)
	settled := int64(0)
	if first := v.newest[0]; now.Sub(first.at) >= behindAfter {
		settled = first.version
	}
	behind := 0
	for _, e := range v.entries {
		if now.Sub(e.told) <= entrySilence && e.version < settled {
			behind++
		}
	}
	return behind
}

// forgetSilent is called with v.mu held. Entries are forgotten as others are heard:
// each start of an entry has an ID of its own, and who reads the metrics may never
// come.
func (v *entryVersions) forgetSilent(now time.Time) {
	if now.Sub(v.swept) < entrySilence {
		return
	}
	v.swept = now
	for id, e := range v.entries {
		if now.Sub(e.told) > entrySilence {
			delete(v.entries, id)
		}
	}
}

// settle is called with v.mu held.
func (v *entryVersions) settle(newest int64, now time.Time) {
	if len(v.newest) == 0 || v.newest[len(v.newest)-1].version < newest {
		v.newest = append(v.newest, newestVersion{version: newest, at: now})
	}
	for len(v.newest) > 1 && now.Sub(v.newest[1].at) >= behindAfter {
		v.newest = v.newest[1:]
	}
}
