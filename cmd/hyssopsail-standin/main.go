// Command hyssopsail-standin runs emulated endpoints: model engines or plain
// services with fault switches, for tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/logging"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hyssopsail-standin:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(args []string) error {
	c, err := parseCommandLine(args)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stderr, logging.Level(c.logLevel))
	if err != nil {
		return trace.Wrap(err)
	}
	all, err := newEndpoints(c, logging.NewPart(logger, "standin"))
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return all.run(ctx)
}
