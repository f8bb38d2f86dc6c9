package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// soakRun is one run of a request in an endpoint's audit record.
type soakRun struct {
	endpoint fleet.EndpointID
	zone     fleet.AvailabilityZone
	at       int64 // start, Unix ms
	call     bool
}

// soakAudit compares the callers' record of a soak with the endpoints' records.
type soakAudit struct {
	*soak
	runs         map[string][]soakRun // by marker
	resultCounts map[string]int
	unknown      []string
	unknownBy    map[string]int      // by team, ten-second interval of the last send, entry and message
	violations   map[string][]string // by guarantee
}

// The guarantees that the audit checks, named by their violation.
const (
	guaranteeOnce          = "doubled"
	guaranteeText          = "wrong text"
	guaranteeNotRun        = "told not run, but ran"
	guaranteeOutcome       = "lost without an outcome"
	guaranteeRecord        = "record says otherwise"
	guaranteeZone          = "misplaced"
	guaranteeLeave         = "started more than 3 s after a leave"
	guaranteeAuditComplete = "not in the endpoints' records"
)

var guarantees = []string{
	guaranteeOnce, guaranteeText, guaranteeNotRun, guaranteeOutcome, guaranteeRecord, guaranteeZone, guaranteeLeave, guaranteeAuditComplete,
}

const maxStartAfterLeave = 3 * time.Second

func (s *soak) audit() {
	s.emulated.awaitNothingHeld(s.t, soakReleaseTimeout)
	a := &soakAudit{soak: s, runs: map[string][]soakRun{}, resultCounts: map[string]int{}, unknownBy: map[string]int{}, violations: map[string][]string{}}
	a.collect()
	for _, r := range s.log.requests {
		a.check(r)
	}
	a.violations[guaranteeText] = s.log.wrongTexts
	a.print()
	for _, promise := range guarantees {
		assert.Check(s.t, len(a.violations[promise]) == 0, "%s", promise)
	}
}

// collect reads the audit records of all endpoints, also of those that have ended.
func (a *soakAudit) collect() {
	for _, m := range a.emulated.all {
		record := m.Audit()
		for _, f := range record.Attempts {
			if f.Prefills+f.Decodes > 0 {
				a.addRun(f.Marker, soakRun{endpoint: record.Endpoint, zone: f.Zone, at: f.StartedMs})
			}
		}
		for _, c := range record.CallRuns {
			a.addRun(c.Marker, soakRun{endpoint: record.Endpoint, zone: record.Zone, at: c.AtMs, call: true})
		}
		if record.LastStartAfterLeaveMs > maxStartAfterLeave.Milliseconds() {
			a.addViolation(guaranteeLeave, "%s after %d ms", record.Endpoint, record.LastStartAfterLeaveMs)
		}
		if record.Unrecorded > 0 {
			a.addViolation(guaranteeAuditComplete, "%s: %d", record.Endpoint, record.Unrecorded)
		}
	}
}

func (a *soakAudit) addRun(marker string, r soakRun) { a.runs[marker] = append(a.runs[marker], r) }

func (a *soakAudit) addViolation(promise, format string, arguments ...any) {
	a.violations[promise] = append(a.violations[promise], fmt.Sprintf(format, arguments...))
}

func (a *soakAudit) check(r *soakRequest) {
	a.resultCounts[fmt.Sprintf("%s, %s", r.kind, r.result)]++
	if r.result == resultUnknown {
		a.unknown = append(a.unknown, r.marker+r.formatSendLog())
		a.unknownBy[fmt.Sprintf("%s %s %s", r.team.name, r.sendLog[len(r.sendLog)-1][:7], r.sendLog[len(r.sendLog)-1][26:])]++
	}
	runs := a.runs[r.marker]
	if r.kind == kindOnce && len(runs) > 1 {
		a.addViolation(guaranteeOnce, "%s ran %+v: %s", r.marker, runs, r.formatSendLog())
	}
	if r.result == resultNotRun && len(runs) > 0 {
		a.addViolation(guaranteeNotRun, "%s ran %+v: %s", r.marker, runs, r.formatSendLog())
	}
	for _, run := range runs {
		if !r.team.permits(run.zone, run.at) {
			a.addViolation(guaranteeZone, "%s of team %s ran %+v: %s", r.marker, r.team.name, run, r.formatSendLog())
		}
	}
	if r.kind == kindOnce && r.result != resultNotRun {
		a.checkRecord(r, len(runs))
	}
}

func (r *soakRequest) formatSendLog() string { return "\n    " + strings.Join(r.sendLog, "\n    ") }

// checkRecord looks up the outcome of a non-idempotent call at an entry after all
// faults have ended. A call that ran must have a record, which must not say "not
// run"; a call that didn't run must not be recorded or answered as completed.
func (a *soakAudit) checkRecord(r *soakRequest, runs int) {
	var known callerapi.RequestReply
	eventually(a.t, callTimeout, func() error {
		reply, err := a.lookup(r)
		if err == nil && reply.Outcome == callerapi.OutcomeInFlight {
			return fmt.Errorf("%s is in flight though nothing runs: %s", r.marker, r.formatSendLog())
		}
		known = reply
		return err
	})
	denied := known.Outcome == callerapi.OutcomeNotRun || known.Outcome == noRecord
	if denied && runs > 0 {
		a.addViolation(guaranteeOutcome, "%s ran %d times, its record is %q: %s", r.marker, runs, known.Outcome, r.formatSendLog())
	}
	if known.Outcome == callerapi.OutcomeCompleted && runs == 0 {
		a.addViolation(guaranteeRecord, "%s never ran, its record is %q: %s", r.marker, known.Outcome, r.formatSendLog())
	}
	if (r.result == resultComplete || r.result == resultRecorded) && runs == 0 {
		a.addViolation(guaranteeRecord, "%s never ran, its caller was told %q: %s", r.marker, r.result, r.formatSendLog())
	}
}

// noRecord is the outcome of a lookup that finds no record of the key.
const noRecord callerapi.Outcome = "no record"

func (a *soakAudit) lookup(r *soakRequest) (callerapi.RequestReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	entry := a.fleet.instances[0]
	if entry.zone != r.team.home {
		entry = a.fleet.instances[1]
	}
	var reply callerapi.RequestReply
	status, err := getJSON(ctx, entry, "/v1/requests/"+r.marker, request{teamKey: r.request.teamKey}, &reply)
	switch {
	case err != nil:
		return callerapi.RequestReply{}, err
	case status == http.StatusNotFound:
		return callerapi.RequestReply{Outcome: noRecord}, nil
	case status != http.StatusOK:
		return callerapi.RequestReply{}, fmt.Errorf("lookup of %s: status %d", r.marker, status)
	}
	return reply, nil
}

const maxViolationsPrinted = 3

func (a *soakAudit) print() {
	a.t.Logf("audit of seed %d: %d requests, %d connections lost mid-answer", a.seed, len(a.log.requests), a.log.truncatedCount)
	a.t.Logf("callers were told:\n%s", formatCounts(a.resultCounts))
	a.t.Logf("     0 held at the end")
	a.t.Logf("unknown by team, ten seconds and entry:\n%s", formatCounts(a.unknownBy))
	a.t.Logf("first unknown:\n%s", strings.Join(a.unknown[:min(len(a.unknown), maxViolationsPrinted)], "\n"))
	for _, promise := range guarantees {
		broken := a.violations[promise]
		shown := broken[:min(len(broken), maxViolationsPrinted)]
		a.t.Logf("%6d %s\n%s", len(broken), promise, strings.Join(shown, "\n"))
	}
}

func formatCounts(of map[string]int) string {
	lines := make([]string, 0, len(of))
	for name, count := range of {
		lines = append(lines, fmt.Sprintf("%6d %s", count, name))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
