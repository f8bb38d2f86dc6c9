package fleetreport

import (
	"io"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/explain"
)

// Report is what the logs of a fleet's processes tell.
type Report struct {
	Start, End time.Time // of all lines

	changes    []configurationChange
	ends       []timedEnd
	notes      []Note
	processes  map[string]bool
	brokenOff  map[exchangeKey]bool // those whose last line has not come
	unreadable int                  // lines that are not log lines, or without a time
}

// exchangeKey identifies an exchange in the logs: callers may send one ID to several entries.
type exchangeKey struct{ process, request string }

type timedEnd struct {
	end
	at time.Time
}

// Note is a line that concerns a whole process or part of prompts.
type Note struct {
	At      time.Time
	Process string
	Text    string
}

// New returns a Report of no lines.
func New() *Report {
	return &Report{processes: map[string]bool{}, brokenOff: map[exchangeKey]bool{}}
}

// Read adds the lines of a log file; see explain.Scan for process. It returns an error if the file
// can't be read.
func (r *Report) Read(process string, log io.Reader) error {
	others, err := explain.Scan(process, log, r.add)
	r.unreadable += others
	return err
}

// IsEmpty reports whether no log line was read.
func (r *Report) IsEmpty() bool { return len(r.processes) == 0 }

func (r *Report) add(l explain.Line) {
	at, ok := timeOf(l)
	if !ok {
		r.unreadable++
		return
	}
	r.processes[l.Process] = true
	if r.Start.IsZero() || at.Before(r.Start) {
		r.Start = at
	}
	if at.After(r.End) {
		r.End = at
	}
	r.addEvent(at, l)
}

func (r *Report) addEvent(at time.Time, l explain.Line) {
	if version, ok := versionInForce(l); ok {
		r.changes = append(r.changes, configurationChange{at: at, process: l.Process, version: version})
	}
	if e, ok := endOf(l); ok && !r.endedBefore(l, e) {
		r.ends = append(r.ends, timedEnd{end: e, at: at})
	}
	switch l.Message {
	case messageCutOff:
		r.notes = append(r.notes, Note{At: at, Process: l.Process, Text: "is cut off from all endpoints"})
	case messagePart:
		text := "refuses part " + l.Get("crashing_part") + " of prompts, which crashes endpoints of " + l.Get("service")
		r.notes = append(r.notes, Note{At: at, Process: l.Process, Text: text})
	}
}

// endedBefore reports whether a line repeats the end of an exchange: one that was broken off has a second
// line.
func (r *Report) endedBefore(l explain.Line, e end) bool {
	key := exchangeKey{process: l.Process, request: l.Get("request")}
	if e.kind == endBrokenOff {
		r.brokenOff[key] = true
		return false
	}
	repeated := r.brokenOff[key]
	delete(r.brokenOff, key)
	return repeated
}

// Notes returns the notes, the earliest first.
func (r *Report) Notes() []Note {
	return slices.SortedStableFunc(slices.Values(r.notes), func(a, b Note) int { return a.At.Compare(b.At) })
}
