package explain

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// mostKnown bounds what is told of one endpoint, and mostLost the requests
// named there: the first ones are nearest to the cause.
const (
	mostKnown = 12
	mostLost  = 5
)

// Story is what the logs tell of one request.
type Story struct {
	Request   string     `json:"request"`
	Summary   string     `json:"summary"`
	Decisions []Line     `json:"decisions"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is what else the logs tell of an endpoint that the request met.
type Endpoint struct {
	ID    string   `json:"id"`
	Known []Note   `json:"known"` // that members and followers noted
	More  int      `json:"more"`  // such notes beyond those kept
	Lost  []string `json:"lost"`  // other requests that ended badly there, the first few
	Count int      `json:"lost_count"`
}

// Note is what one or more processes noted in the same words.
type Note struct {
	First Line   `json:"first"`
	Times int    `json:"times"`
	text  string // of First, by which others are told to be alike
}

// Of tells the story of a request; ok is false when no line names it.
func Of(lines []Line, request string) (s Story, ok bool) {
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
	for _, id := range endpoints(s.Decisions) {
		s.Endpoints = append(s.Endpoints, known(lines, id, request))
	}
	return s, true
}

// endpoints lists those that the lines name, in their order.
func endpoints(lines []Line) []string {
	var ids []string
	for _, l := range lines {
		if id := l.Get(keyEndpoint); id != "" && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func known(lines []Line, id, request string) Endpoint {
	e := Endpoint{ID: id}
	for _, l := range lines {
		other := l.Get(keyRequest)
		switch {
		case l.Get(keyEndpoint) != id || other == request:
		case other == "":
			e.note(l)
		case endedBadly(l):
			e.Count++
			if len(e.Lost) < mostLost {
				e.Lost = append(e.Lost, other)
			}
		}
	}
	return e
}

// note folds what several processes noted in the same words: each entry tells
// of each change.
func (e *Endpoint) note(l Line) {
	text := l.text()
	for n := range e.Known {
		if e.Known[n].text == text {
			e.Known[n].Times++
			return
		}
	}
	if len(e.Known) == mostKnown {
		e.More++
		return
	}
	e.Known = append(e.Known, Note{First: l, Times: 1, text: text})
}

// The last lines of a request.
const (
	answered  = "relay: Answered."
	brokenOff = "relay: Broken off."
	refused   = "relay: Refused."
	noRoom    = "relay: No room."
	noPlace   = "relay: No place came free."
	more      = "relay: More decisions like these."
)

func endedBadly(l Line) bool {
	switch l.Message {
	case brokenOff:
		return true
	case refused:
		return l.Get("sends") != "0"
	case answered:
		return l.Get("outcome") != "served"
	}
	return false
}

// summary says how the request ended, by its last lines.
func summary(lines []Line) string {
	var parts []string
	for _, l := range lines {
		if text := turnedAway(l); text != "" {
			parts = append(parts, text)
		}
		switch l.Message {
		case refused:
			parts = append(parts, refusal(l, lines))
		case brokenOff:
			parts = append(parts, fmt.Sprintf("broken off after event %s and %s ms: %s; the answer came from %s%s",
				orNone(l.Get("after")), l.Get("took_ms"), l.Get("reason"), l.Get(keyEndpoint), cause(l)))
		case answered:
			parts = append(parts, answer(l))
		}
	}
	if len(parts) == 0 {
		return "no line tells how it ended: its process may have been killed, or the log is cut"
	}
	return strings.Join(parts, "; then ")
}

func refusal(l Line, lines []Line) string {
	text := fmt.Sprintf("refused (%s) after %s ms: %s", l.Get("verdict"), l.Get("took_ms"), l.Get("reason"))
	switch {
	case l.Get("sends") == "0" && count(lines, noPlace) > 0:
		text += fmt.Sprintf("; it was sent to nobody, the home of its service had no place for it in %d questions%s", count(lines, noPlace), untold(lines))
	case l.Get("sends") == "0":
		text += fmt.Sprintf("; it was sent to nobody, %d endpoints had no room for it%s", count(lines, noRoom), untold(lines))
	case l.Get("runs") == "0":
		text += fmt.Sprintf("; it was sent %s times and ran nowhere", l.Get("sends"))
	default:
		text += fmt.Sprintf("; it was sent %s times, last to %s, and may have run there", l.Get("sends"), l.Get(keyEndpoint))
	}
	return text + cause(l)
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

func untold(lines []Line) string {
	for _, l := range lines {
		if l.Message == more {
			return fmt.Sprintf(" (and %s more decisions like these)", l.Get("count"))
		}
	}
	return ""
}

// answer tells where the time of an answer went.
func answer(l Line) string {
	sent, prefill, first := number(l, "sent_ms"), number(l, "prefill_ms"), number(l, "first_ms")
	text := fmt.Sprintf("answered by %s (%s) in %s ms, its first part after %d ms", l.Get(keyEndpoint), l.Get("outcome"), l.Get("took_ms"), first)
	if l.Get("outcome") == "failed" {
		text += "; the failure is the endpoint's own and was passed on"
	}
	switch {
	case first < sent:
		text += fmt.Sprintf("; it went on there after %d ms, and began elsewhere", sent)
	case number(l, "prompt") > 0:
		text += fmt.Sprintf(": %d ms until it had a place, %d ms for its prompt, %d ms until the endpoint gave the first part", sent-prefill, prefill, first-sent)
	}
	if pause := number(l, "pause_ms"); pause > 0 {
		text += fmt.Sprintf("; the longest pause between parts was %d ms, %s ms after its arrival", pause, l.Get("pause_at_ms"))
	}
	return text
}

func number(l Line, key string) int64 {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0 // not told: an answer without a prompt has no prefill
	}
	return n
}

// cause gives what the log knows of the connection's or the caller's end.
func cause(l Line) string {
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
