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

// soakRun is one piece of work in an endpoint's own record.
type soakRun struct {
	endpoint fleet.EndpointID
	zone     fleet.AvailabilityZone
	at       int64 // unix ms
	call     bool
}

// soakAudit is the outcome of a soak.
type soakAudit struct {
	*soak
	runs      map[string][]soakRun // by marker
	ends      map[string]int
	unknown   []string
	unknownBy map[string]int      // by team, ten seconds, entry and message
	broken    map[string][]string // violations by promise
}

// The promises that the audit checks.
const (
	promiseOnce      = "doubled"
	promiseText      = "wrong text"
	promiseNotRun    = "told not run, but ran"
	promiseOutcome   = "lost without an outcome"
	promiseRecord    = "record says otherwise"
	promisePlace     = "misplaced"
	promiseLeave     = "started more than 3 s after a leave"
	promiseForgotten = "not in the endpoints' records"
)

var promises = []string{
	promiseOnce, promiseText, promiseNotRun, promiseOutcome, promiseRecord, promisePlace, promiseLeave, promiseForgotten,
}

const leaveBound = 3 * time.Second

func (s *soak) audit() {
	s.engines.awaitNothingHeld(s.t, soakHeldTime)
	a := &soakAudit{soak: s, runs: map[string][]soakRun{}, ends: map[string]int{}, unknownBy: map[string]int{}, broken: map[string][]string{}}
	a.collect()
	for _, r := range s.log.requests {
		a.check(r)
	}
	a.broken[promiseText] = s.log.wrong
	a.print()
	for _, promise := range promises {
		assert.Check(s.t, len(a.broken[promise]) == 0, "%s", promise)
	}
}

// collect reads the endpoints' records, also of those that are gone.
func (a *soakAudit) collect() {
	for _, m := range a.engines.all {
		record := m.Audit()
		for _, f := range record.Attempts {
			if f.Prefills+f.Decodes > 0 {
				a.ran(f.Marker, soakRun{endpoint: record.Endpoint, zone: f.Zone, at: f.StartedMs})
			}
		}
		for _, c := range record.CallRuns {
			a.ran(c.Marker, soakRun{endpoint: record.Endpoint, zone: record.Zone, at: c.AtMs, call: true})
		}
		if record.LastStartAfterLeaveMs > leaveBound.Milliseconds() {
			a.fault(promiseLeave, "%s after %d ms", record.Endpoint, record.LastStartAfterLeaveMs)
		}
		if record.Unrecorded > 0 {
			a.fault(promiseForgotten, "%s: %d", record.Endpoint, record.Unrecorded)
		}
	}
}

func (a *soakAudit) ran(marker string, r soakRun) { a.runs[marker] = append(a.runs[marker], r) }

func (a *soakAudit) fault(promise, format string, arguments ...any) {
	a.broken[promise] = append(a.broken[promise], fmt.Sprintf(format, arguments...))
}

func (a *soakAudit) check(r *soakRequest) {
	a.ends[fmt.Sprintf("%s, %s", r.kind, r.end)]++
	if r.end == endUnknown {
		a.unknown = append(a.unknown, r.marker+r.told())
		a.unknownBy[fmt.Sprintf("%s %s %s", r.team.name, r.sends[len(r.sends)-1][:7], r.sends[len(r.sends)-1][26:])]++
	}
	runs := a.runs[r.marker]
	if r.kind == kindSlip && len(runs) > 1 {
		a.fault(promiseOnce, "%s ran %+v: %s", r.marker, runs, r.told())
	}
	if r.end == endRefused && len(runs) > 0 {
		a.fault(promiseNotRun, "%s ran %+v: %s", r.marker, runs, r.told())
	}
	for _, run := range runs {
		if !r.team.permits(run.zone, run.at) {
			a.fault(promisePlace, "%s of team %s ran %+v: %s", r.marker, r.team.name, run, r.told())
		}
	}
	if r.kind == kindSlip && r.end != endRefused {
		a.checkRecord(r, len(runs))
	}
}

func (r *soakRequest) told() string { return "\n    " + strings.Join(r.sends, "\n    ") }

// checkRecord looks a slip up at an entry, after all faults are healed. A slip
// that ran must have a record, and the record must not deny the run.
func (a *soakAudit) checkRecord(r *soakRequest, runs int) {
	var known callerapi.RequestReply
	eventually(a.t, callTime, func() error {
		reply, err := a.lookup(r)
		if err == nil && reply.Outcome == callerapi.OutcomeInFlight {
			return fmt.Errorf("%s is in flight though nothing runs: %s", r.marker, r.told())
		}
		known = reply
		return err
	})
	denied := known.Outcome == callerapi.OutcomeNotRun || known.Outcome == noRecord
	if denied && runs > 0 {
		a.fault(promiseOutcome, "%s ran %d times, its record is %q: %s", r.marker, runs, known.Outcome, r.told())
	}
	if known.Outcome == callerapi.OutcomeCompleted && runs == 0 {
		a.fault(promiseRecord, "%s never ran, its record is %q: %s", r.marker, known.Outcome, r.told())
	}
	if (r.end == endWhole || r.end == endRecorded) && runs == 0 {
		a.fault(promiseRecord, "%s never ran, its caller was told %q: %s", r.marker, r.end, r.told())
	}
}

// noRecord stands for a key that no entry knows.
const noRecord callerapi.Outcome = "no record"

func (a *soakAudit) lookup(r *soakRequest) (callerapi.RequestReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	entry := a.fleet.instances[0]
	if entry.zone != r.team.home {
		entry = a.fleet.instances[1]
	}
	var reply callerapi.RequestReply
	status, err := get(ctx, entry, "/v1/requests/"+r.marker, request{teamKey: r.ask.teamKey}, &reply)
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

const violationsPrinted = 3

func (a *soakAudit) print() {
	a.t.Logf("audit of seed %d: %d requests, %d connections lost mid-answer", a.seed, len(a.log.requests), a.log.cuts)
	a.t.Logf("callers were told:\n%s", counts(a.ends))
	a.t.Logf("     0 held at the end")
	a.t.Logf("unknown by team, ten seconds and entry:\n%s", counts(a.unknownBy))
	a.t.Logf("first unknown:\n%s", strings.Join(a.unknown[:min(len(a.unknown), violationsPrinted)], "\n"))
	for _, promise := range promises {
		broken := a.broken[promise]
		shown := broken[:min(len(broken), violationsPrinted)]
		a.t.Logf("%6d %s\n%s", len(broken), promise, strings.Join(shown, "\n"))
	}
}

func counts(of map[string]int) string {
	lines := make([]string, 0, len(of))
	for name, count := range of {
		lines = append(lines, fmt.Sprintf("%6d %s", count, name))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
