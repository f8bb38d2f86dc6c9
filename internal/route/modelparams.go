package route

import (
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// bytesPerToken is used to estimate prompt tokens before an engine has counted them.
const bytesPerToken = 4

// modelParams are the settings that apply to a model request.
type modelParams struct {
	team            settings.Team
	permitted       fleet.ZoneSet
	model           engineapi.ModelRef
	declared        settings.Model
	timeouts        settings.Timeouts
	patience        time.Duration
	priority        int
	promptTokens    int // estimated
	maxOutputTokens int
}

// kvBytes estimates the size of the prompt's KV cache.
func (p modelParams) kvBytes() int64 {
	return int64(p.declared.KVBytesPerToken) * int64(p.promptTokens)
}

// resolveModelParams checks a model request against the settings. Pure.
func resolveModelParams(tree *settings.Tree, r ModelRequest, b Bounds) (modelParams, *Failure) {
	team, ok := tree.Teams[r.Team]
	if !ok {
		return modelParams{}, notRun(callerapi.CodeUnauthorised, "the team is not in the settings", 0)
	}
	ref, declared, ok := resolveModel(tree.Fleet.Models, r.Model)
	if !ok || !mayUseModel(team, ref) {
		return modelParams{}, notRun(callerapi.CodeNoModel, "the model is not declared for this team", 0)
	}
	kind := tree.CallerKind(team, r.CallerKind)
	params := modelParams{
		team:         team,
		permitted:    team.Permitted(),
		model:        ref,
		declared:     declared,
		timeouts:     withDefaultTimeouts(tree.Fleet.Timeouts),
		patience:     patience(kind, r.Patience, b),
		priority:     kind.Priority,
		promptTokens: estimateTokens(r.Prompt),
	}
	return limitTokens(params, r.MaxTokens, b)
}

// limitTokens limits the output tokens. It returns a final refusal for a prompt that
// can never fit.
func limitTokens(params modelParams, asked int, b Bounds) (modelParams, *Failure) {
	if asked < 0 {
		return modelParams{}, notRun(callerapi.CodeBadRequest, "max_tokens is negative", 0)
	}
	limit := params.team.Limits.PromptTokens
	if limit > 0 && params.promptTokens > limit {
		return modelParams{}, notRun(callerapi.CodeTooLarge, "the prompt is over the team's limit", 0)
	}
	params.maxOutputTokens = intOrDefault(asked, b.DefaultOutputTokens)
	maxTokens := params.declared.MaxTokens
	if maxTokens <= 0 {
		return params, nil
	}
	if params.promptTokens+asked > maxTokens || params.promptTokens >= maxTokens {
		return modelParams{}, notRun(callerapi.CodeTooLarge, "prompt and max_tokens are over the model's limit", 0)
	}
	params.maxOutputTokens = min(params.maxOutputTokens, maxTokens-params.promptTokens)
	return params, nil
}

// withDefaultTimeouts fills in the timeouts that a request needs.
func withDefaultTimeouts(t settings.Timeouts) settings.Timeouts {
	d := settings.DefaultTimeouts()
	t.KVLife = durationOrDefault(t.KVLife, d.KVLife)
	t.Transfer = durationOrDefault(t.Transfer, d.Transfer)
	t.EndpointLease = durationOrDefault(t.EndpointLease, d.EndpointLease)
	t.InstanceLease = durationOrDefault(t.InstanceLease, d.InstanceLease)
	return t
}

func estimateTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// resolveModel parses "model", "model@version" or "model@version/adapter".
func resolveModel(models []settings.Model, name string) (engineapi.ModelRef, settings.Model, bool) {
	base, adapter, hasAdapter := strings.Cut(name, "/")
	base, version, hasVersion := strings.Cut(base, "@")
	for _, m := range models {
		if m.Name != base || len(m.Versions) == 0 {
			continue
		}
		if !hasVersion {
			version = m.Versions[0]
		}
		ref := engineapi.ModelRef{Model: base, Version: version, Adapter: adapter}
		known := contains(m.Versions, version) && (!hasAdapter || contains(m.Adapters, adapter))
		return ref, m, known
	}
	return engineapi.ModelRef{}, settings.Model{}, false
}

func mayUseModel(team settings.Team, ref engineapi.ModelRef) bool {
	return contains(team.Models, ref.Model) || contains(team.Models, ref.Model+"@"+ref.Version)
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

// patience returns how long the caller waits: as it requested, by its kind or by default, at
// most b.MaxPatience.
func patience(kind settings.CallerKind, requested time.Duration, b Bounds) time.Duration {
	p := durationOrDefault(requested, durationOrDefault(kind.Patience, b.DefaultPatience))
	return min(p, b.MaxPatience)
}
