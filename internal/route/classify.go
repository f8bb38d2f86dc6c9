package route

import (
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// bytesPerToken estimates prompt tokens before an engine has counted them.
const bytesPerToken = 4

// class is what the settings say of a model request.
type class struct {
	team      settings.Team
	permitted fleet.ZoneSet
	model     engineapi.ModelRef
	declared  settings.Model
	timeouts  settings.Timeouts
	patience  time.Duration
	priority  int
	prompt    int // tokens, estimated
	output    int // tokens, at most
}

// kvBytes estimates the KV cache of the prompt.
func (c class) kvBytes() int64 {
	return int64(c.declared.KVBytesPerToken) * int64(c.prompt)
}

// classify checks a model request against the settings. Pure.
func classify(tree *settings.Tree, r ModelRequest, b Bounds) (class, *Failure) {
	team, ok := tree.Teams[r.Team]
	if !ok {
		return class{}, notRun(callerapi.CodeUnauthorised, "the team is not in the settings", 0)
	}
	ref, declared, ok := resolveModel(tree.Fleet.Models, r.Model)
	if !ok || !mayUseModel(team, ref) {
		return class{}, notRun(callerapi.CodeNoModel, "the model is not declared for this team", 0)
	}
	kind := tree.CallerKind(team, r.CallerKind)
	c := class{
		team:      team,
		permitted: team.Permitted(),
		model:     ref,
		declared:  declared,
		timeouts:  filled(tree.Fleet.Timeouts),
		patience:  patience(kind, r.Patience, b),
		priority:  kind.Priority,
		prompt:    estimateTokens(r.Prompt),
	}
	return fitTokens(c, r.MaxTokens, b)
}

// fitTokens bounds the output; a prompt that can never fit is refused for good.
func fitTokens(c class, asked int, b Bounds) (class, *Failure) {
	if asked < 0 {
		return class{}, notRun(callerapi.CodeBadRequest, "max_tokens is negative", 0)
	}
	limit := c.team.Limits.PromptTokens
	if limit > 0 && c.prompt > limit {
		return class{}, notRun(callerapi.CodeTooLarge, "the prompt is over the team's limit", 0)
	}
	c.output = orInt(asked, b.OutputTokens)
	most := c.declared.MaxTokens
	if most <= 0 {
		return c, nil
	}
	if c.prompt+asked > most || c.prompt >= most {
		return class{}, notRun(callerapi.CodeTooLarge, "prompt and max_tokens are over the model's limit", 0)
	}
	c.output = min(c.output, most-c.prompt)
	return c, nil
}

// filled puts the defaults for the times that a run can't do without.
func filled(t settings.Timeouts) settings.Timeouts {
	d := settings.DefaultTimeouts()
	t.KVLife = orTime(t.KVLife, d.KVLife)
	t.Transfer = orTime(t.Transfer, d.Transfer)
	t.EndpointLease = orTime(t.EndpointLease, d.EndpointLease)
	t.InstanceLease = orTime(t.InstanceLease, d.InstanceLease)
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

func patience(kind settings.CallerKind, asked time.Duration, b Bounds) time.Duration {
	p := orTime(asked, orTime(kind.Patience, b.Patience))
	return min(p, b.LongestPatience)
}
