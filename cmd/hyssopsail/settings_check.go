package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// settingsCheck checks files without a daemon.
type settingsCheck struct {
	app   *app
	paths []string
}

func addSettingsCheck(a *app, group *kingpin.CmdClause) {
	c := &settingsCheck{app: a}
	command := group.Command("check", "Check files without asking a daemon. A folder (fleet.yaml, teams/*.yaml) is checked whole; a file by itself.")
	command.Arg("path", "Files or folders.").Required().StringsVar(&c.paths)
	command.Action(a.do(c.run))
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
			t.add(file.path, file.subtree, "ok")
			checked = append(checked, checkedFile{file.path, file.subtree})
		}
	}
	return c.app.show(checked, t)
}

// checkedFile is one file without faults.
type checkedFile struct {
	File    string `json:"file"`
	Subtree string `json:"subtree"`
}
