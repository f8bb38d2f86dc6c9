package fleetreport

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// configurationChange is a process's switch to another configuration.
type configurationChange struct {
	at      time.Time
	process string
	version uint64
}

// Configuration is a version of the configuration and the processes that took it.
type Configuration struct {
	Version     uint64
	First, Last time.Time // when the first and the last process took it
	Processes   int       // that took it
	Holders     int       // that hold it at the end
}

// Spread is how long the last process took it after the first one.
func (c Configuration) Spread() time.Duration { return c.Last.Sub(c.First) }

// Configurations returns the versions, the newest first.
func (r *Report) Configurations() []Configuration {
	byVersion := map[uint64]*Configuration{}
	takers := map[configurationChange]bool{}
	for _, c := range r.sortedChanges() {
		version := byVersion[c.version]
		if version == nil {
			version = &Configuration{Version: c.version, First: c.at}
			byVersion[c.version] = version
		}
		taker := configurationChange{process: c.process, version: c.version}
		if takers[taker] {
			continue // it has restarted
		}
		takers[taker] = true
		version.Last = c.at
		version.Processes++
	}
	for _, held := range r.held() {
		byVersion[held].Holders++
	}
	list := make([]Configuration, 0, len(byVersion))
	for _, version := range byVersion {
		list = append(list, *version)
	}
	slices.SortFunc(list, func(a, b Configuration) int { return cmp.Compare(b.Version, a.Version) })
	return list
}

// held returns the version that each process holds at the end.
func (r *Report) held() map[string]uint64 {
	held := map[string]uint64{}
	for _, c := range r.sortedChanges() {
		held[c.process] = c.version
	}
	return held
}

func (r *Report) sortedChanges() []configurationChange {
	return slices.SortedStableFunc(slices.Values(r.changes), func(a, b configurationChange) int { return a.at.Compare(b.at) })
}

// newestOf returns the newest version that a process holds; 0 if none holds any.
func newestOf(held map[string]uint64) uint64 {
	var newest uint64
	for _, version := range held {
		newest = max(newest, version)
	}
	return newest
}

// Outdated is a process that does not hold the newest configuration at the end.
type Outdated struct {
	Process string
	Version uint64
}

// Outdated returns the processes that hold an older configuration than others at the end, by name.
func (r *Report) Outdated() []Outdated {
	held := r.held()
	newest := newestOf(held)
	var list []Outdated
	for _, process := range slices.Sorted(maps.Keys(held)) {
		if held[process] < newest {
			list = append(list, Outdated{Process: process, Version: held[process]})
		}
	}
	return list
}
