package main

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/certs"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// certsCommand writes the certificates and keys of a new fleet.
type certsCommand struct {
	app       *app
	folder    string
	instances []string
	validity  time.Duration
}

func addCerts(a *app, parser *kingpin.Application) {
	c := &certsCommand{app: a}
	command := parser.Command("certs", "Write a working set of keys for a new fleet: authority, a certificate and key for each instance, the fleet's secret. "+
		"Run again in the same folder with more instances, it adds theirs. It never overwrites a file.")
	command.Flag("folder", "Where to write.").Required().StringVar(&c.folder)
	command.Flag("life", "How long the certificates are valid.").Default(certs.DefaultValidity.String()).DurationVar(&c.validity)
	command.Arg("instance", "Instance IDs.").Required().StringsVar(&c.instances)
	command.Action(a.commandAction(c.run))
}

func (c *certsCommand) run() error {
	ids := make([]fleet.InstanceID, len(c.instances))
	for n, id := range c.instances {
		ids[n] = fleet.InstanceID(id)
	}
	written, err := certs.Write(certs.Options{Folder: c.folder, Instances: ids, Validity: c.validity, Now: c.app.now()})
	if err != nil {
		return trace.Wrap(err)
	}
	t := &table{header: []string{"WRITTEN"}}
	for _, path := range written {
		t.add(path)
	}
	return c.app.show(written, t)
}
