package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleetreport"
)

// fleetReportCommand writes a page on a fleet from log files, without asking a daemon.
type fleetReportCommand struct {
	app   *app
	page  string
	paths []string
}

func addFleetReport(a *app, parser *kingpin.Application) {
	c := &fleetReportCommand{app: a}
	command := parser.Command("fleet-report", "Write a page on a fleet of the platform, from the logs of all processes: configurations, load and refusals over time. Asks no daemon.")
	command.Flag("page", "File for the page, HTML.").Default("fleet.html").StringVar(&c.page)
	command.Arg("file", "Log files, each named after its process; - for standard input.").Default(standardInput).StringsVar(&c.paths)
	command.Action(a.commandAction(c.run))
}

func (c *fleetReportCommand) run() error {
	report := fleetreport.New()
	for _, path := range c.paths {
		if err := withLog(path, report.Read); err != nil {
			return trace.Wrap(err)
		}
	}
	if report.IsEmpty() {
		return trace.NotFound("no log lines in %d files", len(c.paths))
	}
	if err := c.write(report); err != nil {
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintf(c.app.out, "wrote %s\n", c.page)
	return trace.Wrap(err)
}

func (c *fleetReportCommand) write(report *fleetreport.Report) error {
	file, err := os.Create(c.page)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(report.Write(file), file.Close())
}
