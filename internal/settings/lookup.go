package settings

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func (m Model) hasVersion(version string) bool { return slices.Contains(m.Versions, version) }

// Model finds a declared model by name.
func (t *Tree) Model(name string) (Model, bool) {
	for _, model := range t.Fleet.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Service finds a declared plain service that a team may use.
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

// Link finds the KV transfer path between two zones. One declaration holds for
// both directions unless the other direction has its own.
func (t *Tree) Link(from, to fleet.AvailabilityZone) (Link, bool) {
	var back Link
	hasBack := false
	for _, link := range t.Fleet.Links {
		if link.From == from && link.To == to {
			return link, true
		}
		if link.From == to && link.To == from {
			back, hasBack = link, true
			back.From, back.To = from, to
		}
	}
	return back, hasBack
}

// CallerKind gives the patience and priority of a kind of caller: the
// team's own, else the fleet's, else the same for DefaultKind, else the
// built-in default.
func (t *Tree) CallerKind(team Team, kind string) CallerKind {
	for _, name := range []string{kind, DefaultKind} {
		for _, kinds := range [][]CallerKind{team.Callers, t.Fleet.Callers} {
			if found, ok := kindNamed(kinds, name); ok {
				return found
			}
		}
	}
	return defaultCallerKind()
}

func kindNamed(kinds []CallerKind, name string) (CallerKind, bool) {
	for _, kind := range kinds {
		if kind.Kind == name {
			return kind, true
		}
	}
	return CallerKind{}, false
}

// ModelRef resolves a caller's "model", "model@version", "model/adapter" or
// "model@version/adapter" within what the team may use. Without a version it
// takes the newest that the team may use. A model of others and one that
// doesn't exist give the same trace.NotFound.
func (t *Tree) ModelRef(team Team, text string) (engineapi.ModelRef, error) {
	rest, adapter, hasAdapter := strings.Cut(text, "/")
	name, version, pinned := strings.Cut(rest, "@")
	model, ok := t.Model(name)
	versions := team.versionsOf(model)
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

// versionsOf gives the versions of a model that the team may use, newest first.
func (t Team) versionsOf(model Model) []string {
	var versions []string
	for _, version := range model.Versions {
		if slices.Contains(t.Models, model.Name) || slices.Contains(t.Models, model.Name+"@"+version) {
			versions = append(versions, version)
		}
	}
	return versions
}
