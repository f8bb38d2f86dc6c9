package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// settingsRollback writes an older version of a subtree as a new version.
type settingsRollback struct {
	app     *app
	name    string
	version uint64
	wait    time.Duration
}

func addSettingsRollback(a *app, group *kingpin.CmdClause) {
	c := &settingsRollback{app: a}
	command := group.Command("rollback", "Write an older version of a subtree as a new version; versions never go back.")
	command.Arg("subtree", "\"fleet\" or \"teams/NAME\".").Required().StringVar(&c.name)
	command.Arg("version", "The version to write again.").Required().Uint64Var(&c.version)
	addWait(command, &c.wait)
	command.Action(a.commandAction(c.run))
}

func (c *settingsRollback) run() error {
	client, current, err := c.app.currentSubtree(c.name)
	if err != nil {
		return trace.Wrap(err)
	}
	old, err := client.GetSettings(c.app.ctx, &pb.GetSettingsRequest{Name: c.name, Version: c.version})
	if err != nil {
		return trace.Wrap(err)
	}
	if len(old.GetDocuments()) != 1 || old.Documents[0].GetVersion() != c.version {
		return trace.NotFound("version %d of %s is not kept; see \"settings history %s\"", c.version, c.name, c.name)
	}
	change := &pb.ChangeSubtree{Name: c.name, ExpectedVersion: current.GetVersion(), Yaml: old.Documents[0].GetYaml()}
	return c.app.sendAndShow(client, change, c.wait)
}
