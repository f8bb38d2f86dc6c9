package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// drainCommand drains an instance.
type drainCommand struct {
	app      *app
	instance string
}

func addDrain(a *app, parser *kingpin.Application) {
	c := &drainCommand{app: a}
	command := parser.Command("drain", "Let an instance finish its requests and take no new callers. The process keeps running until it is told to stop.")
	command.Arg("instance", "Instance ID.").Required().StringVar(&c.instance)
	command.Action(a.commandAction(c.run))
}

func (c *drainCommand) run() error {
	client, err := c.app.connection.client()
	if err != nil {
		return trace.Wrap(err)
	}
	reply, err := client.Drain(c.app.ctx, &pb.DrainRequest{InstanceId: c.instance})
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"DRAINING"}}
	t.add(c.instance)
	return c.app.show(reply, t)
}
