package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// settingsHistory lists the versions of a subtree.
type settingsHistory struct {
	app  *app
	name string
}

func addSettingsHistory(a *app, group *kingpin.CmdClause) {
	c := &settingsHistory{app: a}
	command := group.Command("history", "List the kept versions of a subtree: who changed it and when.")
	command.Arg("subtree", "\"fleet\" or \"teams/NAME\".").Required().StringVar(&c.name)
	command.Action(a.commandAction(c.run))
}

func (c *settingsHistory) run() error {
	documents, err := c.app.documents(&pb.GetSettingsRequest{Name: c.name, History: true})
	if err != nil {
		return trace.Wrap(err)
	}
	return c.app.showDocuments(documents)
}
