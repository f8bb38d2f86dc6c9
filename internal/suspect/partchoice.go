package suspect

import (
	"cmp"
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// PartFindings knows which parts of prompts crash endpoints, across all entries. It is safe for
// concurrent use.
type PartFindings interface {
	// HasPartFindings reports whether anything is known about any part.
	HasPartFindings() bool
	// JudgeParts returns what is known of the parts of a prompt at a kind of endpoint.
	JudgeParts(kind EndpointKind, parts fleet.PromptParts) PartVerdict
	// BeginPartTrials records that one request with some parts is sent although others are refused.
	// It returns false, and records nothing, if another request is the trial of one of them already.
	BeginPartTrials(keys []PartKey) bool
	// RecordPartsLoss records a run that ended since its endpoint crashed.
	RecordPartsLoss(l PartLoss)
	// RecordPartsAnswer records that an endpoint has done all that it was asked for with the parts.
	RecordPartsAnswer(kind EndpointKind, parts fleet.PromptParts)
}

// VersionVerdict is the verdict on a request at the endpoints of one software version.
type VersionVerdict struct {
	PartVerdict
	Software  string
	Endpoints int // of that version
}

// PartDecision is what becomes of a request that is not simply let through at some software version.
type PartDecision struct {
	// Refusal is why and for how long it is refused; the zero value where it isn't.
	Refusal PartVerdict
	// Software is the version to which it is restricted.
	Software fleet.RequiredSoftware
	Trials   []PartKey // it is the trial of these, which have begun
}

// DecideParts decides on a request by the verdicts at the software versions that could serve it. Where
// it may only be sent as a trial, it begins that, or judges anew if another request is the trial.
func DecideParts(findings PartFindings, judge func() []VersionVerdict) PartDecision {
	for {
		verdicts := judge()
		if len(verdicts) == 0 {
			return PartDecision{}
		}
		best := slices.MinFunc(verdicts, compareVersions)
		if best.Refused {
			return PartDecision{Refusal: best.PartVerdict}
		}
		if len(best.Trials) == 0 || findings.BeginPartTrials(best.Trials) {
			return PartDecision{Software: fleet.RequireSoftware(best.Software), Trials: best.Trials}
		}
	}
}

// compareVersions orders versions by how well a request is served there: let through, as a trial, or
// refused for the shortest time; then those with more endpoints first.
func compareVersions(a, b VersionVerdict) int {
	return cmp.Or(
		cmp.Compare(a.severity(), b.severity()),
		cmp.Compare(a.Wait, b.Wait),
		cmp.Compare(b.Endpoints, a.Endpoints),
		cmp.Compare(a.Software, b.Software),
	)
}

// severity orders verdicts from one that lets a request through to one that refuses it.
func (v PartVerdict) severity() int {
	switch {
	case v.Refused:
		return 2
	case len(v.Trials) > 0:
		return 1
	}
	return 0
}
