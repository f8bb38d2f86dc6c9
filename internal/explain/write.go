package explain

import (
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// Write prints the report as text.
func (s RequestReport) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", s.Request, s.Summary)
	for _, p := range s.Parts {
		p.write(&b)
	}
	process := ""
	for _, l := range s.Decisions {
		if l.Process != process {
			process = l.Process
			fmt.Fprintf(&b, "\nat %s:\n", process)
		}
		at := ""
		if ms := l.Get(keyAt); ms != "" {
			at = "+" + ms + " ms"
		}
		fmt.Fprintf(&b, "  %10s  %s\n", at, l.text("level", keyRequest, keyAt))
	}
	for _, e := range s.Endpoints {
		e.write(&b)
	}
	_, err := io.WriteString(w, b.String())
	return trace.Wrap(err)
}

func (p Part) write(b *strings.Builder) {
	fmt.Fprintf(b, "  part %s of its prompt: %d answered with it, %d lost with it at %d endpoints\n", p.Name, p.Answered, p.Lost, p.LostEndpoints)
	for _, n := range p.Notes {
		n.write(b, keyCrashingPart)
	}
}

// write prints a note without the field of a key.
func (n Note) write(b *strings.Builder, skipped string) {
	times := ""
	if n.Count > 1 {
		times = fmt.Sprintf(" (%d lines like it)", n.Count)
	}
	fmt.Fprintf(b, "  %s  %s  %s%s\n", n.First.Time, n.First.Process, n.First.text("level", skipped), times)
}

func (e Endpoint) write(b *strings.Builder) {
	if len(e.Notes)+e.FailedRequestCount == 0 {
		return
	}
	fmt.Fprintf(b, "\nof endpoint %s:\n", e.ID)
	for _, n := range e.Notes {
		n.write(b, keyEndpoint)
	}
	if e.OmittedNotes > 0 {
		fmt.Fprintf(b, "  and %d more notes\n", e.OmittedNotes)
	}
	if e.FailedRequestCount > 0 {
		fmt.Fprintf(b, "  %d other requests ended badly there: %s\n", e.FailedRequestCount, strings.Join(e.FailedRequests, ", "))
	}
}
