package fleetreport

import (
	"strconv"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/explain"
)

// Messages of the log lines on whole processes.
const (
	messageInForce = "follower: Configuration is in force."
	messageCutOff  = "reachability: Cut off from all endpoints."
	messagePart    = "crashes: A part of prompts crashes endpoints and is refused from now on."
)

// rejections are the reasons of refusals whose log lines name none, by their messages.
var rejections = map[string]string{
	explain.MessageNoRoute:       "no route leads there",
	explain.MessageNoKey:         "no team has the key",
	explain.MessageUnconfirmed:   "keys may have changed",
	explain.MessageOutdated:      "the configuration is outdated",
	explain.MessageNoQuota:       "the quota is spent",
	explain.MessageNoQuotaKeeper: "no keeper of quotas was asked",
}

// endKind is how an exchange ended for its caller.
type endKind int

const (
	endAnswered endKind = iota
	endRefused
	endBrokenOff
	endKinds // number of kinds
)

// String returns the name that the page shows.
func (k endKind) String() string { return [...]string{"answered", "refused", "broken off"}[k] }

// end is the end of an exchange.
type end struct {
	kind   endKind
	reason string // why it was refused or broken off, or the outcome of an answer that was not served
	team   string
	route  string
}

// endOf returns the end of an exchange that a line tells of; ok is false if it tells of none.
func endOf(l explain.Line) (e end, ok bool) {
	e = end{reason: l.Get("reason"), team: l.Get("team"), route: l.Get("route")}
	switch l.Message {
	case explain.MessageAnswered:
		e.kind = endAnswered
		if outcome := l.Get("outcome"); outcome != explain.OutcomeServed {
			e.reason = outcome
		}
		return e, true
	case explain.MessageBrokenOff:
		e.kind = endBrokenOff
		return e, true
	case explain.MessageRefused:
		e.kind = endRefused
		return e, true
	}
	e.kind = endRefused
	e.reason, ok = rejections[l.Message]
	return e, ok
}

// versionInForce returns the configuration that a process holds from a line on; ok is false if the
// line tells of none.
func versionInForce(l explain.Line) (version uint64, ok bool) {
	if l.Message != messageInForce {
		return 0, false
	}
	version, err := strconv.ParseUint(l.Get("version"), 10, 64)
	return version, err == nil
}

// timeOf returns the time of a line; ok is false if it can't be read.
func timeOf(l explain.Line) (at time.Time, ok bool) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	return at, err == nil
}
