package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// AloneCrashes is the number of crashes after which a fingerprint that
// was the only suspect on the endpoint is refused for good.
const AloneCrashes = 2

// CompanyCrashes is the number of crashes after which a suspect is refused for
// good although other suspects were on the endpoint each time. Suspects run
// apart as long as their guard instances answer; without this bound a pair
// that comes together all the same would take down endpoints for ever.
const CompanyCrashes = 3

// Apply gives the suspects that an endpoint's death changes, in
// the order of their fingerprints, so that each replica of the shared state
// computes the same list. It leaves suspects as it is. A changed suspect with
// Crashes 0 is to be removed. The caller applies each endpoint incarnation's
// death once: a report that is sent again would count neighbours
// twice.
//
// When nothing that ran was a suspect, all of it becomes so. When exactly one
// was, it is quarantined and its neighbours aren't counted: they were there by
// chance. When several were, only these are counted, up to CompanyCrashes.
func Apply(suspects map[fleet.Fingerprint]fleet.Suspect, report *pb.ReportCrash, now time.Time, limits Limits) []fleet.Suspect {
	ran := reported(report)
	changed := expired(suspects, ran, now, limits)
	known := stillSuspect(suspects, ran, now, limits)
	switch {
	case len(known) == 0:
		for _, f := range ran {
			changed = append(changed, fleet.Suspect{Fingerprint: f, Crashes: 1, Updated: now})
		}
	default:
		for _, f := range known {
			s := suspects[f]
			s.Crashes++
			s.Updated = now
			s.Quarantined = s.Quarantined || s.Crashes >= CompanyCrashes || (len(known) == 1 && s.Crashes >= AloneCrashes)
			changed = append(changed, s)
		}
	}
	changed = append(changed, evicted(suspects, changed, limits)...)
	slices.SortFunc(changed, func(a, b fleet.Suspect) int {
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return changed
}

// reported gives the report's distinct, well-formed fingerprints.
func reported(report *pb.ReportCrash) []fleet.Fingerprint {
	seen := make(map[fleet.Fingerprint]struct{}, len(report.GetFingerprints()))
	var ran []fleet.Fingerprint
	for _, raw := range report.GetFingerprints() {
		f, ok := fleet.FingerprintFromBytes(raw)
		if !ok {
			continue
		}
		if _, repeated := seen[f]; repeated {
			continue
		}
		seen[f] = struct{}{}
		ran = append(ran, f)
	}
	return ran
}

func stillSuspect(suspects map[fleet.Fingerprint]fleet.Suspect, ran []fleet.Fingerprint, now time.Time, limits Limits) []fleet.Fingerprint {
	var known []fleet.Fingerprint
	for _, f := range ran {
		s, ok := suspects[f]
		if ok && now.Sub(s.Updated) < limits.Life {
			known = append(known, f)
		}
	}
	return known
}

// expired gives removals for suspects whose life has run out. Those that ran
// begin anew or stay, as the rule says.
func expired(suspects map[fleet.Fingerprint]fleet.Suspect, ran []fleet.Fingerprint, now time.Time, limits Limits) []fleet.Suspect {
	var out []fleet.Suspect
	for f, s := range suspects {
		if now.Sub(s.Updated) >= limits.Life && !slices.Contains(ran, f) {
			out = append(out, fleet.Suspect{Fingerprint: f})
		}
	}
	return out
}

// evicted gives removals that keep the shared state within Limits.Most: the
// longest unchanged first, quarantined ones last, so that a flood of crashes
// with many neighbours doesn't free a request that is known to crash
// endpoints.
func evicted(suspects map[fleet.Fingerprint]fleet.Suspect, changed []fleet.Suspect, limits Limits) []fleet.Suspect {
	after := make(map[fleet.Fingerprint]fleet.Suspect, len(suspects)+len(changed))
	for f, s := range suspects {
		after[f] = s
	}
	for _, s := range changed {
		if s.Crashes == 0 {
			delete(after, s.Fingerprint)
			continue
		}
		after[s.Fingerprint] = s
	}
	excess := len(after) - limits.Most
	if excess <= 0 {
		return nil
	}
	for _, s := range changed {
		delete(after, s.Fingerprint)
	}
	order := make([]fleet.Suspect, 0, len(after))
	for _, s := range after {
		order = append(order, s)
	}
	slices.SortFunc(order, olderFirst)
	out := make([]fleet.Suspect, 0, excess)
	for _, s := range order[:min(excess, len(order))] {
		out = append(out, fleet.Suspect{Fingerprint: s.Fingerprint})
	}
	return out
}

func olderFirst(a, b fleet.Suspect) int {
	if a.Quarantined != b.Quarantined {
		if b.Quarantined {
			return -1
		}
		return 1
	}
	if c := a.Updated.Compare(b.Updated); c != 0 {
		return c
	}
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
}
