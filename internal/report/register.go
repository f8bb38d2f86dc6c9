package report

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// command is the command "report" with its flags.
type command struct {
	out      io.Writer
	files    []string
	baseline string
	plots    string
	format   string
}

const directoryMode = 0o755

// Register adds the command "report" to app; tables go to out.
func Register(app *kingpin.Application, out io.Writer) {
	c := &command{out: out}
	cmd := app.Command("report", "Compare results of load and plot them.")
	cmd.Arg("file", "Result of load in JSON.").Required().StringsVar(&c.files)
	cmd.Flag("against", "Variant that the others are compared with, pair by pair.").StringVar(&c.baseline)
	cmd.Flag("plots", "Folder for plots; none are made without it.").StringVar(&c.plots)
	cmd.Flag("plot-form", "svg or png.").Default("svg").EnumVar(&c.format, "svg", "png")
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *command) run() error {
	results, err := ReadFiles(c.files)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := WriteTables(c.out, results, c.baseline); err != nil {
		return trace.Wrap(err)
	}
	if c.plots == "" {
		return nil
	}
	if err := os.MkdirAll(c.plots, directoryMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	names, err := WritePlots(c.plots, c.format, results)
	for _, name := range names {
		_, _ = fmt.Fprintf(c.out, "wrote %s\n", name)
	}
	return trace.Wrap(err)
}
