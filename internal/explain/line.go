package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"
	"github.com/gravitational/trace"
)

// The keys of log lines that a report is built from.
const (
	keyTime     = "ts"
	keyMessage  = "msg"
	keyRequest  = "request"
	keyEndpoint = "endpoint"
	keyAt       = "at_ms" // ms since the request's arrival
	keyParts    = "prompt_parts"
	// keyCrashingPart names the part of prompts for which requests are refused.
	keyCrashingPart = "crashing_part"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Field is one key of a line with its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one log line.
type Line struct {
	Process string  `json:"process"`
	Number  int     `json:"line"` // in its file, from 1
	Time    string  `json:"time"` // by the process's own clock
	Message string  `json:"message"`
	Fields  []Field `json:"fields"`
}

// Get returns a field's value, empty if there is none.
func (l Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// text returns the line without its time and without the fields of skipped keys.
func (l Line) text(skipped ...string) string {
	var b strings.Builder
	b.WriteString(l.Message)
	for _, f := range l.Fields {
		if !slices.Contains(skipped, f.Key) {
			b.WriteString(" " + f.Key + "=" + quoted(f.Value))
		}
	}
	return b.String()
}

func quoted(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\n\"=") {
		return `"` + strings.ReplaceAll(strings.ReplaceAll(value, "\n", "; "), `"`, `'`) + `"`
	}
	return value
}

// Read reads the lines of a file as Scan does and returns them.
func Read(process string, r io.Reader) (lines []Line, others int, err error) {
	others, err = Scan(process, r, func(l Line) { lines = append(lines, l) })
	return lines, others, err
}

// Scan reads the logfmt lines of a file and calls each with them. Text before a line's time, as
// log collectors add it, ends with the name of the process; lines without such text get the name
// process. others counts the lines that are not logfmt.
func Scan(process string, r io.Reader, each func(Line)) (others int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		line, ok := parse(process, scanner.Text())
		if !ok {
			others++
			continue
		}
		line.Number = number
		each(line)
	}
	return others, trace.Wrap(scanner.Err(), "reading the log of %s", process)
}

func parse(process, text string) (Line, bool) {
	start := strings.Index(text, keyTime+"=")
	if start < 0 {
		return Line{}, false
	}
	line := Line{Process: process}
	if before := strings.Fields(text[:start]); len(before) > 0 {
		line.Process = before[len(before)-1]
	}
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.add(string(decoder.Key()), string(decoder.Value()))
		}
	}
	return line, decoder.Err() == nil && line.Message != ""
}

func (l *Line) add(key, value string) {
	switch key {
	case keyTime:
		l.Time = value
	case keyMessage:
		l.Message = value
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
}
