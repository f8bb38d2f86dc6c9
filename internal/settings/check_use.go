package settings

import (
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// declared indexes what a fleet subtree declares, for checks of many teams.
type declared struct {
	zones    map[fleet.AvailabilityZone]struct{}
	models   map[string]Model
	services map[string]struct{}
	timeouts Timeouts
}

func declaredBy(f *Fleet) declared {
	d := declared{
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

// mismatch is one thing of a team that its fleet doesn't declare or allow.
type mismatch struct {
	teamPath  string // in the team's subtree
	fleetPath string // in the fleet's
	problem   string
	want      string
}

// mismatches compares a team with its fleet. Changes of either use it: a team's
// that uses what isn't declared, and a fleet's that removes what teams use.
func (d declared) mismatches(t *Team) []mismatch {
	var found []mismatch
	for n, zone := range t.PermittedZones {
		if _, ok := d.zones[zone]; !ok {
			found = append(found, mismatch{strictyaml.Index("permitted_zones", n), "availability_zones",
				"availability zone " + quoted(zone) + " is not declared", "declare it in the fleet's availability_zones"})
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
				"service " + quoted(service) + " is not declared", "declare it in the fleet's services"})
		}
	}
	return append(found, d.patienceMismatches(t)...)
}

func (d declared) modelProblem(reference string) string {
	name, version, pinned := strings.Cut(reference, "@")
	model, ok := d.models[name]
	if !ok {
		return "model " + quoted(name) + " is not declared"
	}
	if pinned && !model.hasVersion(version) {
		return "model " + quoted(name) + " has no version " + quoted(version)
	}
	return ""
}

// patienceMismatches finds callers who wait longer than an outcome record lives;
// see checker.recordOutlives.
func (d declared) patienceMismatches(t *Team) []mismatch {
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

func quoted[T ~string](text T) string { return `"` + string(text) + `"` }
