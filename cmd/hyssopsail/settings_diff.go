package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// settingsDiff compares settings files with the fleet's current settings.
type settingsDiff struct {
	app  *app
	path string
}

func addSettingsDiff(a *app, group *kingpin.CmdClause) {
	c := &settingsDiff{app: a}
	command := group.Command("diff", "Show what \"settings apply\" of a file or folder would change.")
	command.Arg("path", "File or folder.").Required().StringVar(&c.path)
	command.Action(a.commandAction(c.run))
}

// subtreeDiff is the difference of one subtree.
type subtreeDiff struct {
	Subtree string `json:"subtree"`
	Version uint64 `json:"version"`
	Diff    string `json:"diff"`
}

func (c *settingsDiff) run() error {
	files, err := readSettings(c.path)
	if err != nil {
		return trace.Wrap(err)
	}
	var diffs []subtreeDiff
	for _, file := range files {
		_, current, err := c.app.currentSubtree(file.subtree)
		if err != nil {
			return trace.Wrap(err)
		}
		text := settings.Diff(file.subtree, current.GetYaml(), file.content())
		diffs = append(diffs, subtreeDiff{file.subtree, current.GetVersion(), text})
	}
	if c.app.format != formatTable {
		return trace.Wrap(c.app.show(diffs))
	}
	for _, one := range diffs {
		if _, err := fmt.Fprint(c.app.out, one.Diff); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
