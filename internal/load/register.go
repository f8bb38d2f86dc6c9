package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// command is the command "load" with its flags.
type command struct {
	out           io.Writer
	file          string
	entries       []string
	audits        []string
	auditFolder   string
	engines       []string
	direct        []string
	keys          map[string]string
	jsonFile      string
	skipTextCheck bool
	options       Options
}

// Register adds the command "load" to app; tables go to out.
func Register(app *kingpin.Application, out io.Writer) {
	c := &command{out: out, keys: map[string]string{}}
	cmd := app.Command("load", "Send load by an experiment file and judge the answers.")
	cmd.Arg("file", "Experiment in YAML.").Required().StringVar(&c.file)
	cmd.Flag("entry", "host:port of an entry, instead of the file's; repeatable.").StringsVar(&c.entries)
	cmd.Flag("audit", "host:port of an emulated endpoint, besides the file's; repeatable.").StringsVar(&c.audits)
	cmd.Flag("audit-folder", "Folder with the audits of emulated endpoints that crash, besides the file's.").StringVar(&c.auditFolder)
	cmd.Flag("direct", "host:port of a plain service, for direct streams; repeatable.").StringsVar(&c.direct)
	cmd.Flag("direct-engine", "host:port of an emulated engine that announces itself to no entry, for direct model streams; repeatable.").StringsVar(&c.engines)
	cmd.Flag("team-key", "team=key, instead of the file's; repeatable.").StringMapVar(&c.keys)
	cmd.Flag("variant", "Name of what is measured, for comparisons.").StringVar(&c.options.Variant)
	cmd.Flag("pair", "Number of the interleaved pair.").IntVar(&c.options.Pair)
	cmd.Flag("json", "File for the result in JSON; - is the standard output, without a table.").StringVar(&c.jsonFile)
	cmd.Flag("no-text-check", "Don't compare texts with those of emulated engines.").BoolVar(&c.skipTextCheck)
	cmd.Action(func(*kingpin.ParseContext) error { return c.run() })
}

func (c *command) run() error {
	e, err := ReadFile(c.file)
	if err != nil {
		return trace.Wrap(err)
	}
	c.override(&e)
	if !c.skipTextCheck {
		c.options.Expect = standin.ExpectedText
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := Run(ctx, e, c.options)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(c.write(result))
}

func (c *command) override(e *Experiment) {
	if len(c.entries) > 0 {
		e.Entries = splitLists(c.entries)
	}
	e.Audits = append(e.Audits, splitLists(c.audits)...)
	if c.auditFolder != "" {
		e.AuditFolder = c.auditFolder
	}
	e.Direct = append(e.Direct, splitLists(c.direct)...)
	e.Engines = append(e.Engines, splitLists(c.engines)...)
	for n := range e.Streams {
		if key, ok := c.keys[e.Streams[n].Team]; ok {
			e.Streams[n].Key = key
		}
	}
}

// splitLists splits each value at commas and drops empty parts.
func splitLists(values []string) []string {
	var out []string
	for _, v := range values {
		for _, part := range strings.Split(v, ",") {
			if part != "" {
				out = append(out, part)
			}
		}
	}
	return out
}

func (c *command) write(r Result) error {
	if c.jsonFile == "-" {
		return writeJSON(c.out, r)
	}
	if err := r.WriteTable(c.out); err != nil {
		return trace.Wrap(err)
	}
	if c.jsonFile == "" {
		return nil
	}
	file, err := os.Create(c.jsonFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := writeJSON(file, r); err != nil {
		_ = file.Close() // the first error is returned
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Close())
}

func writeJSON(w io.Writer, r Result) error {
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(w, "%s\n", body)
	return trace.Wrap(err)
}
