package settings

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func (m Model) hasVersion(version string) bool { return slices.Contains(m.Versions, version) }

// Model returns a declared model by name.
func (t *Tree) Model(name string) (Model, bool) {
	for _, model := range t.Fleet.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Service returns a declared plain service by name if the team may use it.
func (t *Tree) Service(team Team, name string) (Service, bool) {
	if !slices.Contains(team.Services, name) {
		return Service{}, false
	}
	for _, service := range t.Fleet.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// Link returns the KV transfer link between two zones. A declaration applies to
// both directions unless the other direction has its own.
func (t *Tree) Link(from, to fleet.AvailabilityZone) (Link, bool) {
	var reverse Link
	hasReverse := false
	for _, link := range t.Fleet.Links {
		if link.From == from && link.To == to {
			return link, true
		}
		if link.From == to && link.To == from {
			reverse, hasReverse = link, true
			reverse.From, reverse.To = from, to
		}
	}
	return reverse, hasReverse
}

// CallerKind returns the patience and priority of a kind of caller. It looks for
// the kind in the team, then in the fleet, then for DefaultKind in both, and
// falls back to the built-in default.
func (t *Tree) CallerKind(team Team, kind string) CallerKind {
	for _, name := range []string{kind, DefaultKind} {
		for _, kinds := range [][]CallerKind{team.Callers, t.Fleet.Callers} {
			if found, ok := findCallerKind(kinds, name); ok {
				return found
			}
		}
	}
	return defaultCallerKind()
}

func findCallerKind(kinds []CallerKind, name string) (CallerKind, bool) {
	for _, kind := range kinds {
		if kind.Kind == name {
			return kind, true
		}
	}
	return CallerKind{}, false
}

// ModelRef resolves a caller's "model", "model@version", "model/adapter" or
// "model@version/adapter" among the models that the team may use. Without a
// version it returns the newest one that the team may use. For another team's
// model it returns the same trace.NotFound as for one that doesn't exist.
func (t *Tree) ModelRef(team Team, text string) (engineapi.ModelRef, error) {
	rest, adapter, hasAdapter := strings.Cut(text, "/")
	name, version, pinned := strings.Cut(rest, "@")
	model, ok := t.Model(name)
	versions := team.permittedVersions(model)
	if !ok || len(versions) == 0 {
		return engineapi.ModelRef{}, trace.NotFound("no such model for this team")
	}
	if !pinned {
		version = versions[0]
	}
	if !slices.Contains(versions, version) {
		return engineapi.ModelRef{}, trace.NotFound("no such version of model %s for this team", model.Name)
	}
	if hasAdapter && !slices.Contains(model.Adapters, adapter) {
		return engineapi.ModelRef{}, trace.NotFound("no such adapter of model %s", model.Name)
	}
	return engineapi.ModelRef{Model: name, Version: version, Adapter: adapter}, nil
}

// permittedVersions returns the versions of a model that the team may use, newest first.
func (t Team) permittedVersions(model Model) []string {
	var versions []string
	for _, version := range model.Versions {
		if slices.Contains(t.Models, model.Name) || slices.Contains(t.Models, model.Name+"@"+version) {
			versions = append(versions, version)
		}
	}
	return versions
}
