package settings

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// Subtree is a parsed subtree; exactly one of Fleet and Team is set.
type Subtree struct {
	Name     string
	Fleet    *Fleet
	Team     *Team
	document *strictyaml.Document
}

// fileSuffix is added to a subtree name to form the file name in faults.
const fileSuffix = ".yaml"

// parseSubtree parses and checks the YAML of one subtree, without the rest of
// the tree. The error contains strictyaml.Faults with all faults found.
func parseSubtree(name string, yaml []byte) (Subtree, error) {
	return ParseSubtreeFile(name+fileSuffix, name, yaml)
}

// ParseSubtreeFile parses and checks the YAML of one subtree, without the rest of
// the tree. The error contains strictyaml.Faults, which name file as their source.
func ParseSubtreeFile(file, name string, yaml []byte) (Subtree, error) {
	if name == FleetSubtree {
		return parseFleet(file, yaml)
	}
	if team, isTeam := strings.CutPrefix(name, TeamPrefix); isTeam {
		return parseTeam(file, fleet.Team(team), yaml)
	}
	return Subtree{}, trace.Wrap(strictyaml.Faults{{
		File:    file,
		Problem: fmt.Sprintf("no subtree is called %q", name),
		Want:    fmt.Sprintf("there are %q and %q with a team's name", FleetSubtree, TeamPrefix),
	}})
}

func parseFleet(file string, yaml []byte) (Subtree, error) {
	parsed := defaultFleet()
	document := strictyaml.Decode(file, yaml, &parsed)
	if document.Err() == nil {
		checkFleet(&parsed, document)
	}
	if err := document.Err(); err != nil {
		return Subtree{}, trace.Wrap(err)
	}
	return Subtree{Name: FleetSubtree, Fleet: &parsed, document: document}, nil
}

func parseTeam(file string, name fleet.Team, yaml []byte) (Subtree, error) {
	parsed := defaultTeam()
	document := strictyaml.Decode(file, yaml, &parsed)
	if document.Err() == nil {
		checkTeam(&parsed, name, document)
	}
	if err := document.Err(); err != nil {
		return Subtree{}, trace.Wrap(err)
	}
	return Subtree{Name: TeamSubtree(name), Team: &parsed, document: document}, nil
}

// SubtreeNameOf returns the name of the subtree that a file is for: that of the
// team under its "team" key, else FleetSubtree.
func SubtreeNameOf(data []byte) string {
	var head struct {
		Team string `yaml:"team"`
	}
	// parseSubtree reports the file's faults, with their lines.
	_ = yaml.NewDecoder(bytes.NewReader(data)).Decode(&head)
	if head.Team == "" {
		return FleetSubtree
	}
	return TeamSubtree(fleet.Team(head.Team))
}
