package suspect

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// PartVerdict is what the findings on its parts mean for a request at one kind of endpoint. The
// zero value lets it through.
type PartVerdict struct {
	// Suspect reports that crashes count against a part. If the request is let through, it should run
	// beside no other suspect: if it crashes its endpoint, that one would be blamed.
	Suspect bool
	Refused bool
	Part    fleet.PromptPart // why it is refused
	Wait    time.Duration    // until it may be sent, where it is refused
	Trials  []PartKey        // it may be sent if a trial of each of these begins
}

// IsRestricted reports whether the verdict doesn't simply let a request through.
func (v PartVerdict) IsRestricted() bool { return v.Refused || len(v.Trials) > 0 }

// Judge returns the verdict on a request with some parts at one kind of endpoint; recent are those
// answered lately.
func (t *PartTracker) Judge(now time.Time, kind EndpointKind, parts fleet.PromptParts, recent *AnsweredParts) PartVerdict {
	var verdict PartVerdict
	for _, part := range parts {
		verdict = verdict.And(t.judgePart(now, PartKey{EndpointKind: kind, Part: part}, recent))
	}
	return verdict
}

// And returns the verdict that meets both: the longer refusal, or all trials.
func (v PartVerdict) And(other PartVerdict) PartVerdict {
	suspect := v.Suspect || other.Suspect
	switch {
	case !v.Refused && !other.Refused:
		v = PartVerdict{Trials: unionOf(v.Trials, other.Trials)}
	case !v.Refused, other.Refused && other.Wait > v.Wait:
		v = other
	}
	v.Suspect = suspect
	return v
}

func unionOf(a, b []PartKey) []PartKey {
	for _, key := range b {
		if !slices.Contains(a, key) {
			a = append(a, key)
		}
	}
	return a
}

func (t *PartTracker) judgePart(now time.Time, key PartKey, recent *AnsweredParts) PartVerdict {
	f := t.Find(key)
	if f.IsRefused() {
		return verdictUntil(now, key, f.NextTrial())
	}
	refusedVersions := t.refusedVersions(key.place())
	if refusedVersions == 0 || f.Answered || recent.Contains(now, key) {
		return PartVerdict{Suspect: f.isSuspect() || t.combined(key.place()).isSuspect()}
	}
	if refusedVersions >= maxRefusedVersions {
		return verdictUntil(now, key, t.earliestTrial(key.place()))
	}
	if f.TriedAt.IsZero() {
		return PartVerdict{Suspect: true, Trials: []PartKey{key}}
	}
	return verdictUntil(now, key, f.TriedAt.Add(trialLease))
}

func verdictUntil(now time.Time, key PartKey, next time.Time) PartVerdict {
	if wait := next.Sub(now); wait > 0 {
		return PartVerdict{Suspect: true, Refused: true, Part: key.Part, Wait: wait}
	}
	return PartVerdict{Suspect: true, Trials: []PartKey{key}}
}

// earliestTrial returns the earliest next trial of a part over the versions that refuse it.
func (t *PartTracker) earliestTrial(place partPlace) time.Time {
	var earliest time.Time
	for _, r := range t.versions(place) {
		if next := r.NextTrial(); r.IsRefused() && (earliest.IsZero() || next.Before(earliest)) {
			earliest = next
		}
	}
	return earliest
}
