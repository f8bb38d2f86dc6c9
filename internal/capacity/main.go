package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

func main() {
	o, err := parse(os.Args[1:])
	if err == nil {
		err = run(o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func parse(arguments []string) (options, error) {
	app := kingpin.New("capacity", "Measures what control costs and how it grows.")
	short := app.Flag("short", "Smaller sizes and shorter windows: about 3 minutes.").Bool()
	bin := app.Flag("bin", "Folder of the built programs.").Default("bin").String()
	out := app.Flag("json", "File for the figures.").String()
	control := app.Flag("control", "Control instances of each fleet.").Default("3").Int()
	only := app.Flag("only", "One part alone.").Enum(partNames()...)
	if _, err := app.Parse(arguments); err != nil {
		return options{}, trace.Wrap(err)
	}
	o := fullOptions()
	if *short {
		o = shortOptions()
	}
	o.binFolder, o.jsonFile, o.control, o.onlyPart = *bin, *out, *control, *only
	return o, nil
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	folder, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	o.folder = folder
	report := newReport()
	for _, p := range parts {
		if o.onlyPart != "" && o.onlyPart != p.name {
			continue
		}
		if err := p.run(ctx, o, report); err != nil {
			report.print(os.Stdout)
			return trace.Wrap(err, "%s", p.name)
		}
	}
	report.print(os.Stdout)
	return trace.Wrap(report.write(o.jsonFile))
}
