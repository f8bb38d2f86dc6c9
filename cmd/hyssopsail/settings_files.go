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
	yamlSuffix  = "*.yaml"
)

// settingsFile is one subtree's file.
type settingsFile struct {
	path    string
	subtree string
	yaml    []byte // without the version line
	version uint64 // the version line's; 0 without one
}

// versionLine is written by "settings get" as a file's first line, so that
// "settings apply" knows which version the edit began from.
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
		// The line stays in the YAML that is checked, or lines in faults
		// would be off by one; it leaves before the file is sent.
		file.version, err = strconv.ParseUint(string(match[1]), 10, 64)
		if err != nil {
			return settingsFile{}, trace.BadParameter("%s:1: the version is not a number", path)
		}
	}
	file.subtree = settings.SubtreeNameOf(data)
	return file, nil
}

// content is what is sent: the file without its version line.
func (f settingsFile) content() []byte { return versionLine.ReplaceAll(f.yaml, nil) }

// readSettings reads one file or a folder with fleet.yaml and teams/*.yaml.
// The fleet comes first: teams are checked against it.
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
	teams, err := filepath.Glob(filepath.Join(folder, teamsFolder, yamlSuffix))
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
		return nil, trace.NotFound("%s has neither %s nor %s/%s", folder, fleetFile, teamsFolder, yamlSuffix)
	}
	return teams, nil
}

// checkSettings checks files by themselves and, when the fleet is among them,
// against each other. The error holds the faults of all files.
func checkSettings(files []settingsFile) error {
	tree := settings.EmptyTree()
	whole := isWhole(files)
	var faults strictyaml.Faults
	for _, file := range files {
		next, err := checkOne(tree, file, whole)
		var own strictyaml.Faults
		switch {
		case errors.As(err, &own):
			faults = append(faults, own...)
			// Without the fleet, teams would only repeat its faults.
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

// isWhole tells whether the fleet's file is among files; it comes first.
func isWhole(files []settingsFile) bool {
	return len(files) > 0 && files[0].subtree == settings.FleetSubtree
}

func checkOne(tree *settings.Tree, file settingsFile, whole bool) (*settings.Tree, error) {
	if whole {
		return settings.CheckChangeFile(tree, file.path, file.subtree, file.yaml)
	}
	_, err := settings.ParseSubtreeFile(file.path, file.subtree, file.yaml)
	return tree, trace.Wrap(err)
}
