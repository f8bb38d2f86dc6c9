package route

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// minPartGrowth is by which share a prefix of a prompt is longer than the one before that counts as a
// part. Prompts of a hundred blocks then have about thirty parts.
const minPartGrowth = 8

// partLengths are the lengths of prefixes, in blocks, that count as parts of a prompt.
func partLengths(blocks int) []int {
	var lengths []int
	for length := 1; length <= blocks; length += max(1, length/minPartGrowth) {
		lengths = append(lengths, length)
	}
	return lengths
}

// partNameBytes is the size of the keyed hash that names a part.
const partNameBytes = 8

// partsOf returns the parts of a prompt: prefixes of whole blocks, the shortest first, and the whole
// request. They are named by keyed hashes, from which nothing of a prompt can be told.
func (h hasher) partsOf(model engineapi.ModelRef, blocks []uint64, f fleet.Fingerprint) fleet.PromptParts {
	var parts fleet.PromptParts
	for _, length := range partLengths(len(blocks)) {
		body := binary.BigEndian.AppendUint64(nil, blocks[length-1])
		name := suspect.FingerprintOf(h.secret, "part of a prompt", model.String(), body)
		parts = append(parts, fleet.PromptPart(hex.EncodeToString(name[:partNameBytes])))
	}
	return append(parts, fleet.PromptPart(f.String()))
}

// promptParts returns the parts of the request's prompt; none where they aren't tracked.
func (m *activeModelRequest) promptParts() fleet.PromptParts {
	if m.router.opts.Parts == nil || m.router.opts.PrefixHashes == nil {
		return nil
	}
	if m.parts == nil {
		blocks := m.router.opts.PrefixHashes(m.params.model, m.req.Prompt)
		m.parts = m.router.hash.partsOf(m.params.model, blocks, m.fingerprint)
	}
	return m.parts
}

// checkParts returns a failure if a part of the prompt crashes endpoints. It restricts the attempt to
// a software version that the part doesn't crash, if there is one, or begins a trial. While crashes count
// against a part the attempt runs apart from other suspects.
func (a *attempt) checkParts() *attemptFailure {
	m := a.request
	parts := m.promptParts()
	if len(parts) == 0 || !m.router.opts.Parts.HasPartFindings() {
		return nil
	}
	judge := func() []suspect.VersionVerdict { return a.judgeVersions(parts) }
	verdicts := judge()
	a.alone = slices.ContainsFunc(verdicts, func(v suspect.VersionVerdict) bool { return v.Suspect })
	if !slices.ContainsFunc(verdicts, func(v suspect.VersionVerdict) bool { return v.IsRestricted() }) {
		return nil
	}
	decision := suspect.DecideParts(m.router.opts.Parts, judge)
	if refusal := decision.Refusal; refusal.Refused {
		m.router.metrics.partRefusals.Inc()
		m.router.opts.Logger.Info("Refused, since a part of its prompt crashes endpoints.", "request", m.req.ID, "crashing_part", refusal.Part)
		return finalAttemptFailure(refused(callerapi.CodeQuarantined, "a part of its prompt crashed each endpoint that ran it", refusal.Wait))
	}
	a.software = decision.Software
	return nil
}

// judgeVersions judges the parts at each software version of the engines that could decode.
func (a *attempt) judgeVersions(parts fleet.PromptParts) []suspect.VersionVerdict {
	var verdicts []suspect.VersionVerdict
	for version, count := range a.request.router.opts.Follower.CountVersions(a.fittingQuery(fleet.RoleDecode)) {
		verdict := a.judge(fleet.RolePrefill, version, parts).And(a.judge(fleet.RoleDecode, version, parts))
		verdicts = append(verdicts, suspect.VersionVerdict{PartVerdict: verdict, Software: version, Endpoints: count})
	}
	return verdicts
}

func (a *attempt) judge(role fleet.EndpointRole, version string, parts fleet.PromptParts) suspect.PartVerdict {
	return a.request.router.opts.Parts.JudgeParts(a.engineKind(role, version), parts)
}

func (a *attempt) engineKind(role fleet.EndpointRole, version string) suspect.EndpointKind {
	return suspect.EndpointKind{Service: a.request.params.model.String(), Stage: string(role), Software: version}
}

// recordParts records how the attempt ended against the parts of the prompt: a complete answer clears
// them, an engine that crashed with them counts.
func (a *attempt) recordParts(ctx context.Context, failed *attemptFailure) {
	if failed == nil {
		a.recordPartsAnswered(fleet.RoleDecode)
		return
	}
	if !failed.endpointMayHaveCrashed() {
		return
	}
	for role, held := range map[fleet.EndpointRole]*heldGrant{fleet.RolePrefill: a.prefill, fleet.RoleDecode: a.decode} {
		if held == nil || held.sentAt.IsZero() || held.target.ID != failed.endpoint {
			continue
		}
		parts := a.request.promptParts()
		if len(parts) > 0 && a.request.router.hasEnded(ctx, held.target, held.sentAt) {
			a.request.router.opts.Parts.RecordPartsLoss(suspect.NewPartLoss(a.engineKind(role, a.software.Version()), string(held.target.ID), parts, held.sentAt, time.Now()))
		}
	}
}

func (a *attempt) recordPartsAnswered(role fleet.EndpointRole) {
	if parts := a.request.promptParts(); len(parts) > 0 {
		a.request.router.opts.Parts.RecordPartsAnswer(a.engineKind(role, a.software.Version()), parts)
	}
}
