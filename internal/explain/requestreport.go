package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// maxNotes bounds the notes kept for one endpoint, and maxFailedRequests the
// requests listed there. The first ones are kept, as the closest to the cause.
const (
	maxNotes          = 12
	maxFailedRequests = 5
)

// RequestReport is what the logs say about one request.
type RequestReport struct {
	Request   string     `json:"request"`
	Summary   string     `json:"summary"`
	Parts     []Part     `json:"prompt_parts"`
	Decisions []Line     `json:"decisions"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is what else the logs say about an endpoint that the request used.
type Endpoint struct {
	ID                 string   `json:"id"`
	Notes              []Note   `json:"known"` // lines of members and followers, which name no request
	OmittedNotes       int      `json:"more"`  // such notes beyond those kept
	FailedRequests     []string `json:"lost"`  // the first few other requests that failed there
	FailedRequestCount int      `json:"lost_count"`
}

// Note is a line that one or more processes logged with the same text.
type Note struct {
	First Line   `json:"first"`
	Count int    `json:"times"`
	text  string // of First; lines with an equal text are counted here
}

// NewRequestReport returns the report of a request; ok is false when no line names it.
func NewRequestReport(lines []Line, request string) (s RequestReport, ok bool) {
	s.Request = request
	for _, l := range lines {
		if l.Get(keyRequest) == request {
			s.Decisions = append(s.Decisions, l)
		}
	}
	if len(s.Decisions) == 0 {
		return s, false
	}
	s.Summary = summary(s.Decisions)
	s.Parts = describeParts(lines, s.Decisions)
	for _, id := range endpoints(s.Decisions) {
		s.Endpoints = append(s.Endpoints, describeEndpoint(lines, id, request))
	}
	return s, true
}

// endpoints returns the IDs of the endpoints that the lines name, in order.
func endpoints(lines []Line) []string {
	var ids []string
	for _, l := range lines {
		if id := l.Get(keyEndpoint); id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// describeEndpoint collects what the lines say about an endpoint, except those of request.
func describeEndpoint(lines []Line, id, request string) Endpoint {
	e := Endpoint{ID: id}
	for _, l := range lines {
		other := l.Get(keyRequest)
		switch {
		case l.Get(keyEndpoint) != id || other == request:
		case other == "":
			e.addNote(l)
		case failedAtEndpoint(l):
			e.FailedRequestCount++
			if len(e.FailedRequests) < maxFailedRequests {
				e.FailedRequests = append(e.FailedRequests, other)
			}
		}
	}
	return e
}

// addNote adds a line, or counts it if its text is already there: every entry logs
// the same changes.
func (e *Endpoint) addNote(l Line) {
	notes, omitted := addNote(e.Notes, l)
	e.Notes = notes
	if omitted {
		e.OmittedNotes++
	}
}

// addNote adds a line to notes, or counts it if its text is already there. It is omitted beyond
// maxNotes.
func addNote(notes []Note, l Line) (list []Note, omitted bool) {
	text := l.text()
	for n := range notes {
		if notes[n].text == text {
			notes[n].Count++
			return notes, false
		}
	}
	if len(notes) == maxNotes {
		return notes, true
	}
	return append(notes, Note{First: l, Count: 1, text: text}), false
}

// Messages of the log lines of decisions on a request.
const (
	lost          = "relay: Connection to an endpoint lost."
	noRoom        = "relay: No room."
	noPlace       = "relay: No place came free."
	moreDecisions = "relay: More decisions like these."
)

func failedAtEndpoint(l Line) bool {
	switch l.Message {
	case MessageBrokenOff:
		return true
	case MessageRefused:
		return l.Get("sends") != "0"
	case MessageAnswered:
		return l.Get("outcome") != OutcomeServed
	}
	return false
}

// summary describes how the request ended.
func summary(lines []Line) string {
	var parts []string
	for _, l := range lines {
		if text := rejectedAtEntry(l); text != "" {
			parts = append(parts, text)
		}
		switch l.Message {
		case MessageRefused:
			parts = append(parts, describeRefusal(l, lines))
		case MessageBrokenOff:
			parts = append(parts, fmt.Sprintf("broken off after event %s and %s ms: %s; the answer came from %s%s",
				orNone(l.Get("after")), l.Get("took_ms"), l.Get("reason"), l.Get(keyEndpoint), errorSuffix(l)))
		case MessageAnswered:
			parts = append(parts, describeAnswer(l))
		}
	}
	if len(parts) == 0 {
		return "no line tells how it ended: its process may have been killed, or the log is cut"
	}
	return strings.Join(parts, "; then ")
}

func describeRefusal(l Line, lines []Line) string {
	text := fmt.Sprintf("refused (%s) after %s ms: %s", l.Get("verdict"), l.Get("took_ms"), l.Get("reason"))
	switch {
	case l.Get(keyCrashingPart) != "":
		text += fmt.Sprintf("; the part is %s; it was sent %s times", l.Get(keyCrashingPart), l.Get("sends"))
	case l.Get("sends") == "0" && count(lines, noPlace) > 0:
		text += fmt.Sprintf("; it was sent to nobody, the home of its service had no place for it in %d questions%s", count(lines, noPlace), omittedDecisions(lines))
	case l.Get("sends") == "0":
		text += fmt.Sprintf("; it was sent to nobody, %d endpoints had no room for it%s", count(lines, noRoom), omittedDecisions(lines))
	case l.Get("runs") == "0":
		text += fmt.Sprintf("; it was sent %s times and ran nowhere", l.Get("sends"))
	default:
		text += fmt.Sprintf("; it was sent %s times, last to %s, and may have run there", l.Get("sends"), l.Get(keyEndpoint))
	}
	return text + errorSuffix(l)
}

func count(lines []Line, message string) int {
	n := 0
	for _, l := range lines {
		if l.Message == message {
			n++
		}
	}
	return n
}

// omittedDecisions returns a remark on decisions that the entry left out of the log.
func omittedDecisions(lines []Line) string {
	for _, l := range lines {
		if l.Message == moreDecisions {
			return fmt.Sprintf(" (and %s more decisions like these)", l.Get("count"))
		}
	}
	return ""
}

// describeAnswer describes an answer and where its time was spent.
func describeAnswer(l Line) string {
	sent, prefill, first := intField(l, "sent_ms"), intField(l, "prefill_ms"), intField(l, "first_ms")
	text := fmt.Sprintf("answered by %s (%s) in %s ms, its first part after %d ms", l.Get(keyEndpoint), l.Get("outcome"), l.Get("took_ms"), first)
	if l.Get("outcome") == "failed" {
		text += "; the failure is the endpoint's own and was passed on"
	}
	switch {
	case first < sent:
		text += fmt.Sprintf("; it went on there after %d ms, and began elsewhere", sent)
	case intField(l, "prompt") > 0:
		text += fmt.Sprintf(": %d ms until it had a place, %d ms for its prompt, %d ms until the endpoint gave the first part", sent-prefill, prefill, first-sent)
	}
	if pause := intField(l, "pause_ms"); pause > 0 {
		text += fmt.Sprintf("; the longest pause between parts was %d ms, %s ms after its arrival", pause, l.Get("pause_at_ms"))
	}
	return text
}

// intField returns a number field of a line, or 0 if it is missing or not a number.
func intField(l Line, key string) int64 {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0 // not logged: an answer without a prompt has no prefill
	}
	return n
}

// errorSuffix returns the logged error and what ended the exchange, as the end of a
// sentence; "" if neither was logged.
func errorSuffix(l Line) string {
	text := ""
	if err := l.Get("err"); err != "" && err != "null" {
		text += "; error: " + err
	}
	if left := l.Get("left_by"); left != "" && left != "null" {
		text += "; the exchange was ended by: " + left
	}
	return text
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
