package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// settingsCheck checks settings files without asking a daemon.
type settingsCheck struct {
	app   *app
	paths []string
}

func addSettingsCheck(a *app, group *kingpin.CmdClause) {
	c := &settingsCheck{app: a}
	command := group.Command("check", "Check files without asking a daemon. A folder (fleet.yaml, teams/*.yaml) is checked whole; a file by itself.")
	command.Arg("path", "Files or folders.").Required().StringsVar(&c.paths)
	command.Action(a.commandAction(c.run))
}

func (c *settingsCheck) run() error {
	t := &table{header: []string{"FILE", "SUBTREE", "CHECK"}}
	var checked []checkedFile
	for _, path := range c.paths {
		files, err := readSettings(path)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := checkSettings(files); err != nil {
			return trace.Wrap(err)
		}
		for _, file := range files {
			one := checkedFile{file.path, file.subtree, includesFleet(files)}
			t.add(one.File, one.Subtree, one.text())
			checked = append(checked, one)
		}
	}
	return c.app.show(checked, t)
}

// checkedFile is one file without faults.
type checkedFile struct {
	File      string `json:"file"`
	Subtree   string `json:"subtree"`
	WithFleet bool   `json:"with_fleet"` // also checked against the fleet's file
}

func (c checkedFile) text() string {
	if c.WithFleet {
		return "ok"
	}
	return "ok by itself; zones, models and services weren't checked without fleet.yaml"
}
