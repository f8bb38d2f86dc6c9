package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/explain"
)

// explainCommand reconstructs the course of a request from log files, without
// asking a daemon.
type explainCommand struct {
	app     *app
	request string
	paths   []string
}

// standardInput is the argument that stands for standard input.
const standardInput = "-"

func addExplain(a *app, parser *kingpin.Application) {
	c := &explainCommand{app: a}
	command := parser.Command("explain", "Tell what became of a request, and why, from the logs of all processes. Asks no daemon.")
	command.Flag("request", "The request's ID, as its caller gave it.").Required().StringVar(&c.request)
	command.Arg("file", "Log files, each named after its process; - for standard input.").Default(standardInput).StringsVar(&c.paths)
	command.Action(a.commandAction(c.run))
}

func (c *explainCommand) run() error {
	var lines []explain.Line
	others := 0
	for _, path := range c.paths {
		read, skipped, err := readLog(path)
		if err != nil {
			return trace.Wrap(err)
		}
		lines, others = append(lines, read...), others+skipped
	}
	story, ok := explain.NewRequestReport(lines, c.request)
	if !ok {
		return trace.NotFound("none of %d log lines names request %s (%d other lines)", len(lines), c.request, others)
	}
	if c.app.format == formatTable {
		return trace.Wrap(story.Write(c.app.out))
	}
	return c.app.show(story)
}

func readLog(path string) (lines []explain.Line, others int, err error) {
	err = withLog(path, func(process string, log io.Reader) error {
		lines, others, err = explain.Read(process, log)
		return err
	})
	return lines, others, err
}

// withLog calls read with the log of a file and the name of its process, by the file's name.
func withLog(path string, read func(process string, log io.Reader) error) error {
	if path == standardInput {
		return read("stdin", os.Stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer closeLog(f)
	return read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
}

// closeLog closes a file that was only read, so an error loses no data.
func closeLog(f io.Closer) { _ = f.Close() }
