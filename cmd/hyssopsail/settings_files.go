package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// File names in a folder of settings.
const (
	fleetFile   = "fleet.yaml"
	teamsFolder = "teams"
	yamlPattern = "*.yaml"
)

// settingsFile is one subtree's file.
type settingsFile struct {
	path    string
	subtree string
	yaml    []byte // as read, with the version line
	version uint64 // from the version line; 0 without one
}

// versionLine matches the first line that "settings get" writes, from which
// "settings apply" knows the version that was edited.
var versionLine = regexp.MustCompile(`^# hyssopsail version ([0-9]+)\n`)

func withVersion(version uint64, yaml []byte) []byte {
	return append(fmt.Appendf(nil, "# hyssopsail version %d\n", version), yaml...)
}

func readSettingsFile(path string) (settingsFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settingsFile{}, trace.ConvertSystemError(err)
	}
	file := settingsFile{path: path, yaml: data}
	if match := versionLine.FindSubmatch(data); match != nil {
		// The version line stays in the YAML that is checked, so that line
		// numbers in faults are right; content removes it for sending.
		file.version, err = strconv.ParseUint(string(match[1]), 10, 64)
		if err != nil {
			return settingsFile{}, trace.BadParameter("%s:1: the version is not a number", path)
		}
	}
	file.subtree = settings.SubtreeNameOf(data)
	return file, nil
}

// content returns the YAML to send: the file without its version line.
func (f settingsFile) content() []byte { return versionLine.ReplaceAll(f.yaml, nil) }

// readSettings reads one file, or a folder with fleet.yaml and teams/*.yaml.
// fleet.yaml comes first, since teams are checked against it.
func readSettings(path string) ([]settingsFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !info.IsDir() {
		file, err := readSettingsFile(path)
		return []settingsFile{file}, trace.Wrap(err)
	}
	paths, err := folderFiles(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	files := make([]settingsFile, 0, len(paths))
	for _, one := range paths {
		file, err := readSettingsFile(one)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		files = append(files, file)
	}
	return files, nil
}

func folderFiles(folder string) ([]string, error) {
	teams, err := filepath.Glob(filepath.Join(folder, teamsFolder, yamlPattern))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	slices.Sort(teams)
	own := filepath.Join(folder, fleetFile)
	_, err = os.Stat(own)
	switch {
	case err == nil:
		return append([]string{own}, teams...), nil
	case !errors.Is(err, fs.ErrNotExist):
		return nil, trace.ConvertSystemError(err)
	case len(teams) == 0:
		return nil, trace.NotFound("%s has neither %s nor %s/%s", folder, fleetFile, teamsFolder, yamlPattern)
	}
	return teams, nil
}

// checkSettings checks each file by itself and, when fleet.yaml is among them,
// against the others. The error holds the faults of all files.
func checkSettings(files []settingsFile) error {
	tree := settings.EmptyTree()
	whole := includesFleet(files)
	var faults strictyaml.Faults
	for _, file := range files {
		next, err := checkFile(tree, file, whole)
		var own strictyaml.Faults
		switch {
		case errors.As(err, &own):
			faults = append(faults, own...)
			// Checked against a faulty fleet.yaml, teams would only repeat
			// its faults.
			whole = whole && file.subtree != settings.FleetSubtree
		case err != nil:
			return trace.Wrap(err)
		default:
			tree = next
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// includesFleet reports whether fleet.yaml is among files; it comes first.
func includesFleet(files []settingsFile) bool {
	return len(files) > 0 && files[0].subtree == settings.FleetSubtree
}

func checkFile(tree *settings.Tree, file settingsFile, whole bool) (*settings.Tree, error) {
	if whole {
		return settings.CheckChangeFile(tree, file.path, file.subtree, file.yaml)
	}
	_, err := settings.ParseSubtreeFile(file.path, file.subtree, file.yaml)
	return tree, trace.Wrap(err)
}
