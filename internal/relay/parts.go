package relay

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// partRestriction is what findings on the parts of its prompt mean for an exchange.
type partRestriction struct {
	// software is the version to which the exchange is restricted, where its parts crash others.
	software fleet.RequiredSoftware
	refusal  suspect.PartVerdict // why it is refused; the zero value where it isn't
	onTrial  bool                // it is sent although others are refused
}

func (ex *activeExchange) tracksParts() bool {
	return ex.router.options.Parts != nil && len(ex.promptParts()) > 0 && ex.router.options.Policy.Has(dispatch.Quarantine)
}

// isPartRefused reports whether the exchange is refused since a part of its prompt crashes
// endpoints. It restricts the exchange to a software version that the part doesn't crash, if there
// is one, or begins a trial.
func (ex *activeExchange) isPartRefused() bool {
	if ex.parts.onTrial || !ex.tracksParts() {
		return false
	}
	ex.parts.software = fleet.RequiredSoftware{}
	if !ex.router.options.Parts.HasPartFindings() {
		return false
	}
	if !ex.isAnyVersionRestricted() {
		return false
	}
	decision := suspect.DecideParts(ex.router.options.Parts, ex.judgeVersions)
	ex.parts.software, ex.parts.refusal = decision.Software, decision.Refusal
	ex.recordTrials(decision.Trials)
	return decision.Refusal.Refused
}

// isAnyVersionRestricted reports whether the exchange is not let through at some software version of
// its service, of which there are few.
func (ex *activeExchange) isAnyVersionRestricted() bool {
	return slices.ContainsFunc(ex.router.options.View().softwareOf(ex.service, ex.stage()), func(version string) bool {
		return ex.judgeParts(version).IsRestricted()
	})
}

// judgeVersions judges the exchange at each software version of the endpoints that could serve it.
func (ex *activeExchange) judgeVersions() []suspect.VersionVerdict {
	var list []suspect.VersionVerdict
	for version, endpoints := range ex.countVersions() {
		list = append(list, suspect.VersionVerdict{PartVerdict: ex.judgeParts(version), Software: version, Endpoints: endpoints})
	}
	return list
}

// countVersions counts the endpoints of each software version that could be used.
func (ex *activeExchange) countVersions() map[string]int {
	f := ex.filter(ex.stage())
	f.tried = nil
	versions := map[string]int{}
	for _, e := range ex.router.selected(f) {
		versions[e.Software]++
	}
	return versions
}

// judgeParts judges the parts at the endpoints of a software version that would prefill the prompt
// and those that would write the answer.
func (ex *activeExchange) judgeParts(version string) suspect.PartVerdict {
	stages := []dispatch.Stage{ex.stage()}
	if ex.engine != nil {
		stages = append(stages, dispatch.StagePrefill)
	}
	var verdict suspect.PartVerdict
	for _, stage := range stages {
		verdict = verdict.And(ex.router.options.Parts.JudgeParts(ex.endpointKind(stage, version), ex.promptParts()))
	}
	return verdict
}

func (ex *activeExchange) endpointKind(stage dispatch.Stage, version string) suspect.EndpointKind {
	return suspect.EndpointKind{Service: ex.service, Stage: stage.String(), Software: version}
}

func (ex *activeExchange) recordTrials(trials []suspect.PartKey) {
	ex.parts.onTrial = len(trials) > 0
	for _, key := range trials {
		ex.logDecision("Sent as a trial of a refused part.", "crashing_part", key.Part, "software", key.Software)
	}
}

// placementSoftware returns the software version that the endpoint of the next attempt must have.
func (ex *activeExchange) placementSoftware() fleet.RequiredSoftware {
	if ex.software.IsSet() {
		return ex.software
	}
	return ex.parts.software
}

// partLoss returns the loss of a run with the parts of this exchange's prompt; nil if it has none.
func (ex *activeExchange) partLoss(at *dispatch.Endpoint, sent time.Time) *suspect.PartLoss {
	if !ex.tracksParts() {
		return nil
	}
	loss := suspect.NewPartLoss(ex.endpointKind(at.Stage, at.Software), at.ID, ex.promptParts(), sent, time.Now())
	return &loss
}

// recordPartsAnswered records that an endpoint has answered the exchange, or prefilled its prompt.
func (ex *activeExchange) recordPartsAnswered(at *dispatch.Endpoint) {
	if ex.tracksParts() {
		ex.router.options.Parts.RecordPartsAnswer(ex.endpointKind(at.Stage, at.Software), ex.promptParts())
	}
}
