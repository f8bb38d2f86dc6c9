package suspect

import (
	"bytes"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// SoleSuspectCrashes is the number of crashes after which a fingerprint is quarantined, if at the
// last one it was the only suspect on the endpoint.
const SoleSuspectCrashes = 2

// MultiSuspectCrashes is the number of crashes after which a suspect is quarantined even if
// other suspects were on the endpoint each time. Suspects run apart as long as their guard
// instances answer; without this limit, two suspects that run together nevertheless could
// crash endpoints forever.
const MultiSuspectCrashes = 3

// Apply returns the suspects that the death of an endpoint changes, in the order of their
// fingerprints, so that each replica of the shared state computes the same list. It doesn't
// modify suspects. A changed suspect with Crashes 0 is to be removed. The caller must apply
// the death of each endpoint incarnation only once: a repeated report would count its
// requests twice.
//
// If no request that ran was a suspect, all of them become suspects. If exactly one was, it
// is quarantined and the other requests aren't counted: they ran there by chance. If several
// were, only these are counted, and quarantined at MultiSuspectCrashes.
func Apply(suspects map[fleet.Fingerprint]fleet.Suspect, report *pb.ReportCrash, now time.Time, limits Limits) []fleet.Suspect {
	ran := distinctFingerprints(report)
	changed := expiredRemovals(suspects, ran, now, limits)
	known := unexpiredSuspects(suspects, ran, now, limits)
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
			s.Quarantined = s.Quarantined || s.Crashes >= MultiSuspectCrashes || (len(known) == 1 && s.Crashes >= SoleSuspectCrashes)
			changed = append(changed, s)
		}
	}
	changed = append(changed, evictionRemovals(suspects, changed, limits)...)
	slices.SortFunc(changed, func(a, b fleet.Suspect) int {
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return changed
}

// distinctFingerprints returns the distinct, well-formed fingerprints of a report.
func distinctFingerprints(report *pb.ReportCrash) []fleet.Fingerprint {
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

// unexpiredSuspects returns the fingerprints in ran that are suspects and have not expired.
func unexpiredSuspects(suspects map[fleet.Fingerprint]fleet.Suspect, ran []fleet.Fingerprint, now time.Time, limits Limits) []fleet.Fingerprint {
	var known []fleet.Fingerprint
	for _, f := range ran {
		s, ok := suspects[f]
		if ok && now.Sub(s.Updated) < limits.TTL {
			known = append(known, f)
		}
	}
	return known
}

// expiredRemovals returns removals of the suspects that have expired. Those that are in ran
// are left to the rule of Apply.
func expiredRemovals(suspects map[fleet.Fingerprint]fleet.Suspect, ran []fleet.Fingerprint, now time.Time, limits Limits) []fleet.Suspect {
	var out []fleet.Suspect
	for f, s := range suspects {
		if now.Sub(s.Updated) >= limits.TTL && !slices.Contains(ran, f) {
			out = append(out, fleet.Suspect{Fingerprint: f})
		}
	}
	return out
}

// evictionRemovals returns removals that keep the number of suspects within Limits.MaxTracked:
// those unchanged for longest first and quarantined ones last, so that many crashes of requests
// with many neighbours don't release a request that is known to crash endpoints.
func evictionRemovals(suspects map[fleet.Fingerprint]fleet.Suspect, changed []fleet.Suspect, limits Limits) []fleet.Suspect {
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
	excess := len(after) - limits.MaxTracked
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
	slices.SortFunc(order, compareForEviction)
	out := make([]fleet.Suspect, 0, excess)
	for _, s := range order[:min(excess, len(order))] {
		out = append(out, fleet.Suspect{Fingerprint: s.Fingerprint})
	}
	return out
}

// compareForEviction orders suspects by quarantine (last), time of the latest crash and
// fingerprint.
func compareForEviction(a, b fleet.Suspect) int {
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
