package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// settingsDiff compares files with what is in force.
type settingsDiff struct {
	app  *app
	path string
}

func addSettingsDiff(a *app, group *kingpin.CmdClause) {
	c := &settingsDiff{app: a}
	command := group.Command("diff", "Show what \"settings apply\" of a file or folder would change.")
	command.Arg("path", "File or folder.").Required().StringVar(&c.path)
	command.Action(a.do(c.run))
}

// shownDiff is the difference of one subtree.
type shownDiff struct {
	Subtree string `json:"subtree"`
	Version uint64 `json:"version"`
	Diff    string `json:"diff"`
}

func (c *settingsDiff) run() error {
	files, err := readSettings(c.path)
	if err != nil {
		return trace.Wrap(err)
	}
	var diffs []shownDiff
	for _, file := range files {
		_, current, err := c.app.currentSubtree(file.subtree)
		if err != nil {
			return trace.Wrap(err)
		}
		text := settings.Diff(file.subtree, current.GetYaml(), file.content())
		diffs = append(diffs, shownDiff{file.subtree, current.GetVersion(), text})
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
