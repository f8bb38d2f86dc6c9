package fleet

import (
	"sort"
	"strings"
)

// ZoneSet is the set of availability zones that a team's data may touch. It is
// the only type for such permissions: entries, ledger replicas, prefill, decode,
// KV transfer, cache index and logs all check it. The zero ZoneSet permits
// nothing. A ZoneSet is immutable.
type ZoneSet struct {
	zones map[AvailabilityZone]struct{}
	class string
}

// NewZoneSet returns the set of the given zones; duplicates are ignored.
func NewZoneSet(zones ...AvailabilityZone) ZoneSet {
	set := make(map[AvailabilityZone]struct{}, len(zones))
	names := make([]string, 0, len(zones))
	for _, z := range zones {
		if _, ok := set[z]; ok {
			continue
		}
		set[z] = struct{}{}
		names = append(names, string(z))
	}
	sort.Strings(names)
	return ZoneSet{zones: set, class: strings.Join(names, ZoneClassSeparator)}
}

// ZoneClassSeparator joins zone names in a class; package settings refuses it in
// zone names.
const ZoneClassSeparator = "+"

// ParseZoneClass returns the set that Class names; it is the inverse of Class.
func ParseZoneClass(class string) ZoneSet {
	if class == "" {
		return ZoneSet{}
	}
	parts := strings.Split(class, ZoneClassSeparator)
	zones := make([]AvailabilityZone, len(parts))
	for i, p := range parts {
		zones[i] = AvailabilityZone(p)
	}
	return NewZoneSet(zones...)
}

// Permits reports whether data may touch zone z.
func (s ZoneSet) Permits(z AvailabilityZone) bool {
	_, ok := s.zones[z]
	return ok
}

// Class returns the name of the set: its sorted zones joined by
// ZoneClassSeparator. Teams with equal sets share ledger groups.
func (s ZoneSet) Class() string { return s.class }

// Len returns the number of zones.
func (s ZoneSet) Len() int { return len(s.zones) }

// Zones returns the zones, sorted.
func (s ZoneSet) Zones() []AvailabilityZone {
	if s.class == "" {
		return nil
	}
	parts := strings.Split(s.class, ZoneClassSeparator)
	zones := make([]AvailabilityZone, len(parts))
	for i, p := range parts {
		zones[i] = AvailabilityZone(p)
	}
	return zones
}
