package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// settingsRemove removes a team's subtree.
type settingsRemove struct {
	app             *app
	name            string
	expectedVersion uint64
	wait            time.Duration
}

func addSettingsRemove(a *app, group *kingpin.CmdClause) {
	c := &settingsRemove{app: a}
	command := group.Command("remove", "Remove a team's subtree; its callers are refused from then on. Older versions stay in its history.")
	command.Arg("subtree", "\"teams/NAME\".").Required().StringVar(&c.name)
	command.Flag("expect", "Version that you mean to remove.").Required().Uint64Var(&c.expectedVersion)
	addWait(command, &c.wait)
	command.Action(a.commandAction(c.run))
}

func (c *settingsRemove) run() error {
	client, err := c.app.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	return c.app.sendAndShow(client, &pb.ChangeSubtree{Name: c.name, ExpectedVersion: c.expectedVersion}, c.wait)
}
