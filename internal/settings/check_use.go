package settings

import (
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// declarations is an index of what a fleet subtree declares, built once to check
// many teams.
type declarations struct {
	zones    map[fleet.AvailabilityZone]struct{}
	models   map[string]Model
	services map[string]struct{}
	timeouts Timeouts
}

func indexDeclarations(f *Fleet) declarations {
	d := declarations{
		zones:    make(map[fleet.AvailabilityZone]struct{}, len(f.Zones)),
		models:   make(map[string]Model, len(f.Models)),
		services: make(map[string]struct{}, len(f.Services)),
		timeouts: f.Timeouts,
	}
	for _, zone := range f.Zones {
		d.zones[zone.Name] = struct{}{}
	}
	for _, model := range f.Models {
		d.models[model.Name] = model
	}
	for _, service := range f.Services {
		d.services[service.Name] = struct{}{}
	}
	return d
}

// mismatch is a value in a team's subtree that the fleet doesn't declare or allow.
type mismatch struct {
	teamPath  string // in the team's subtree
	fleetPath string // in the fleet subtree
	problem   string
	want      string
}

// mismatches checks a team against the fleet. It is used for changes of both: of
// a team that uses something undeclared, and of the fleet that removes something
// teams use.
func (d declarations) mismatches(t *Team) []mismatch {
	var found []mismatch
	for n, zone := range t.PermittedZones {
		if _, ok := d.zones[zone]; !ok {
			found = append(found, mismatch{strictyaml.Index("permitted_zones", n), "availability_zones",
				"availability zone " + quote(zone) + " is not declared", "declare it in the fleet's availability_zones"})
		}
	}
	for n, reference := range t.Models {
		if problem := d.modelProblem(reference); problem != "" {
			found = append(found, mismatch{strictyaml.Index("models", n), "models", problem,
				`write "model" or "model@version" of the fleet's models`})
		}
	}
	for n, service := range t.Services {
		if _, ok := d.services[service]; !ok {
			found = append(found, mismatch{strictyaml.Index("services", n), "services",
				"service " + quote(service) + " is not declared", "declare it in the fleet's services"})
		}
	}
	return append(found, d.patienceMismatches(t)...)
}

// modelProblem returns what is wrong with a "model" or "model@version"
// reference, or an empty string.
func (d declarations) modelProblem(reference string) string {
	name, version, pinned := strings.Cut(reference, "@")
	model, ok := d.models[name]
	if !ok {
		return "model " + quote(name) + " is not declared"
	}
	if pinned && !model.hasVersion(version) {
		return "model " + quote(name) + " has no version " + quote(version)
	}
	return ""
}

// patienceMismatches returns the caller kinds that wait at least as long as an
// outcome record is kept; see checker.recordOutlivesCalls.
func (d declarations) patienceMismatches(t *Team) []mismatch {
	var found []mismatch
	for n, kind := range t.Callers {
		if kind.Patience >= d.timeouts.RecordLife {
			found = append(found, mismatch{strictyaml.Key(strictyaml.Index("caller_kinds", n), "patience"), "timeouts.record_life",
				"patience " + kind.Patience.String() + " is not under record_life " + d.timeouts.RecordLife.String(),
				"keep patience under the fleet's timeouts.record_life"})
		}
	}
	return found
}

func quote[T ~string](text T) string { return `"` + string(text) + `"` }
