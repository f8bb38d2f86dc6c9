package report

import (
	"io"

	"github.com/alecthomas/kingpin/v2"
)

// Register adds the command "report" to app; tables go to out.
func Register(app *kingpin.Application, out io.Writer) {
	command := app.Command("report", "Compare results of load and plot them.")
	command.Action(func(*kingpin.ParseContext) error { return nil })
	_ = out
}
