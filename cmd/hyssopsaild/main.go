// Command hyssopsaild is the daemon: an entry that serves callers and routes
// requests, a member of the control group, or both, as its settings file says.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for a wrong command
// line, 4 for an invalid settings file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/daemon"
	"github.com/hyssopsail/hyssopsail/internal/hangup"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/version"
)

// The exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 4
)

func main() {
	app := kingpin.New("hyssopsaild", "The hyssopsail daemon. Its file says which roles it has.")
	app.Version(version.Text("hyssopsaild"))
	app.HelpFlag.Short('h')
	file := app.Flag("config", "The daemon's own settings file (YAML).").Short('c').Required().String()
	checkOnly := app.Flag("check", "Check the file and exit.").Bool()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "hyssopsaild: %v; try --help\n", err)
		os.Exit(exitUsage)
	}
	os.Exit(run(*file, *checkOnly))
}

func run(file string, checkOnly bool) int {
	settings, err := config.Load(file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "hyssopsaild: %v\n", err)
		return exitRefused
	}
	if checkOnly {
		return 0
	}
	logger, err := logging.New(os.Stderr, settings.LogLevel)
	if err != nil {
		fmt.Fprintf(os.Stderr, "hyssopsaild: %v\n", err)
		return exitRefused
	}
	part := logging.NewPart(logger, "daemon")
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go logHangups(part)
	if err := serve(ctx, &settings, logger, part); err != nil {
		part.Error("Stopped by a failure.", "err", err)
		return exitFailed
	}
	part.Info("Stopped gracefully.")
	return 0
}

// logHangups logs each SIGHUP. A SIGHUP reloads nothing: the daemon reads its own
// file only at the start, and all other settings come from the control group.
func logHangups(part logging.Part) {
	for range hangup.Signals {
		part.Info("SIGHUP changes nothing: settings come from the control group.")
	}
}

// serve runs the daemon, and starts it again under a new incarnation each time it
// has lost its membership in the fleet.
func serve(ctx context.Context, settings *config.Daemon, logger log.Logger, part logging.Part) error {
	for {
		built, err := daemon.New(settings, logger)
		if err != nil {
			return err
		}
		err = built.Run(ctx)
		if !errors.Is(err, daemon.ErrRejoin) {
			return err
		}
		part.Warn("Joining again under a new incarnation.", "cause", err)
	}
}
