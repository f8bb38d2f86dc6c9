package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

const about = `Operate a hyssopsail fleet.

The tool asks the daemons' operators' listeners, named by --address. Your key says who you are and which subtrees you may change.`

// app is one run of the tool: its output, clock and global flags.
type app struct {
	ctx        context.Context
	out        io.Writer
	errors     io.Writer
	now        func() time.Time
	format     string
	connection connection
	terminated *int // set when help, version or completion was printed
}

// commandRegistrations register the commands with the parser, one file each. A
// package that implements a command of its own is added here.
var commandRegistrations = []func(*app, *kingpin.Application){
	addAsk,
	addCerts,
	addInit,
	addSettings,
	addStatus,
	addEndpoints,
	addDrain,
	addOrder,
	addControl,
	addTimeline,
	addExplain,
	addFleetReport,
	addHashKey,
	addLoad,
	addReport,
	addVersion,
}

// run parses args and runs the command that they name.
func run(ctx context.Context, args []string, out, errOut io.Writer) exitCode {
	a := &app{ctx: ctx, out: out, errors: errOut, now: time.Now}
	parser := a.parser()
	_, err := parser.Parse(args)
	if a.terminated != nil {
		return exitCode(*a.terminated)
	}
	if err == nil {
		return exitOK
	}
	if isCommandError(err) {
		a.report(err)
		return exitCodeOf(err)
	}
	_, _ = fmt.Fprintf(errOut, "hyssopsail: %v; see hyssopsail --help\n", err)
	return exitUsage
}

func (a *app) parser() *kingpin.Application {
	parser := kingpin.New("hyssopsail", about+"\n\n"+exitHelp)
	parser.UsageWriter(a.out)
	parser.ErrorWriter(a.errors)
	parser.Terminate(func(status int) {
		a.terminated = &status
		parser.UsageWriter(io.Discard) // parsing goes on and may print the help again
	})
	parser.Validate(a.stopAfterHelp)
	parser.HelpFlag.Short('h')
	parser.Flag("output", "Form of the answer.").Short('o').Default(formatTable).EnumVar(&a.format, formatTable, formatJSON, formatYAML)
	a.connection.addFlags(parser)
	for _, add := range commandRegistrations {
		add(a, parser)
	}
	return parser
}

// errTerminated ends a run after help, version or completion was printed.
var errTerminated = errors.New("terminated")

// stopAfterHelp keeps commands from running after "--help". The terminate hook
// doesn't end the process, so kingpin would go on to the command's action, and
// "drain X --help" would drain.
func (a *app) stopAfterHelp(*kingpin.Application) error {
	if a.terminated != nil {
		return errTerminated
	}
	return nil
}

// commandError marks an error that a command returned, as opposed to a usage
// error of the parser.
type commandError struct{ err error }

// Error implements error.
func (e *commandError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.err }

// isCommandError reports whether err came from a command. Commands of other
// packages return traced errors; the parser never does.
func isCommandError(err error) bool {
	var own *commandError
	var traced trace.Error
	return errors.As(err, &own) || errors.As(err, &traced)
}

// commandAction returns the kingpin action that runs command.
func (a *app) commandAction(command func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := command(); err != nil {
			return &commandError{err}
		}
		return nil
	}
}

// report writes err on one line, or one line for each fault of settings.
func (a *app) report(err error) {
	var faults strictyaml.Faults
	if errors.As(err, &faults) {
		_, _ = fmt.Fprintln(a.errors, faults.Error())
		return
	}
	_, _ = fmt.Fprintf(a.errors, "hyssopsail: %s\n", trace.UserMessage(err))
}
