package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// settingsRemove removes a team.
type settingsRemove struct {
	app     *app
	name    string
	version uint64
	wait    time.Duration
}

func addSettingsRemove(a *app, group *kingpin.CmdClause) {
	c := &settingsRemove{app: a}
	command := group.Command("remove", "Remove a team's subtree; its callers are refused from then on. Older versions stay in its history.")
	command.Arg("subtree", "\"teams/NAME\".").Required().StringVar(&c.name)
	command.Flag("expect", "Version that you mean to remove.").Required().Uint64Var(&c.version)
	addWait(command, &c.wait)
	command.Action(a.do(c.run))
}

func (c *settingsRemove) run() error {
	client, err := c.app.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	return c.app.sendAndShow(client, &pb.ChangeSubtree{Name: c.name, ExpectedVersion: c.version}, c.wait)
}
