package e2e_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// soakKind is what a caller of the soak sends.
type soakKind string

const (
	kindSlip   soakKind = "slip"   // a plain call that must not run twice
	kindLookup soakKind = "lookup" // a repeatable plain call
	kindStream soakKind = "stream"
	kindWhole  soakKind = "whole"
)

func (k soakKind) model() bool { return k == kindStream || k == kindWhole }

// soakEnd is what a request came to, as its caller sees it.
type soakEnd string

const (
	endWhole     soakEnd = "answered whole"
	endRecorded  soakEnd = "told that it ran before"
	endRefused   soakEnd = "refused, not run"
	endFailed    soakEnd = "failed"
	endUnknown   soakEnd = "unknown"
	endAbandoned soakEnd = "given up by its caller"
	endSilent    soakEnd = "no answer yet"
)

// soakRequest is one request over all its repeats.
type soakRequest struct {
	kind   soakKind
	marker string // its idempotency key too
	team   *soakTeam
	ask    request
	end    soakEnd
	sends  []string // what came of each, for a report
}

// soakLog is the callers' own record.
type soakLog struct {
	mu       sync.Mutex
	requests []*soakRequest
	wrong    []string
	cuts     int
}

func (l *soakLog) add(r *soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

func (l *soakLog) addWrong(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, fmt.Sprintf(format, arguments...))
}

func (l *soakLog) addCut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
}

// soakCaller sends one request after the other.
type soakCaller struct {
	*soak
	number int
	random *rand.Rand
}

func (s *soak) caller(n int) *soakCaller {
	return &soakCaller{soak: s, number: n, random: rand.New(rand.NewPCG(s.seed, uint64(n)+1))}
}

const (
	mostSends      = 40
	sendTime       = 14 * time.Second
	mostRepeatWait = 400 * time.Millisecond
	mostPatience   = 600 * time.Millisecond // of a caller that leaves early
)

func (c *soakCaller) run(stop <-chan struct{}) {
	untilClosed(stop, func(n int) {
		r := c.next(n)
		c.log.add(r)
		c.serve(r)
	})
}

func (c *soakCaller) next(n int) *soakRequest {
	kinds := []soakKind{kindSlip, kindSlip, kindSlip, kindLookup, kindStream, kindStream, kindStream, kindWhole, kindWhole}
	kind := kinds[c.random.IntN(len(kinds))]
	marker := fmt.Sprintf("%s-%d-%d", kind, c.number, n)
	team := c.teams[c.random.IntN(len(c.teams))]
	tokens := 1 + c.random.IntN(120)
	return &soakRequest{
		kind: kind, marker: marker, team: team, end: endSilent,
		ask: request{
			prompt:    fmt.Sprintf("%s [[id=%s]][[tokens=%d]]", strings.Repeat("verse ", c.random.IntN(600)), marker, tokens),
			maxTokens: 200,
			stream:    kind == kindStream,
			key:       marker,
			teamKey:   team.key,
		},
	}
}

// serve sends a request, and again with the same key elsewhere, until its fate
// is told or the caller leaves.
func (c *soakCaller) serve(r *soakRequest) {
	leaves := c.random.IntN(12) == 0
	for range mostSends {
		within := sendTime
		if leaves {
			within = 1 + rand64(c.random.Int64N, mostPatience)
		}
		entry := c.entry(r.team)
		begun := time.Now()
		a, err := c.send(entry, r, within)
		r.note(begun, entry, a, err)
		if end, told := c.judge(r, a, err); told {
			r.end = end
			return
		}
		if leaves {
			r.end = endAbandoned
			return
		}
		<-time.After(rand64(c.random.Int64N, mostRepeatWait))
	}
}

func (r *soakRequest) note(begun time.Time, entry *instance, a answer, err error) {
	what := fmt.Sprintf("%d %s %s %q", a.status, a.outcome, a.refused.Code, a.refused.Message)
	if err != nil {
		what = err.Error()
	}
	if a.cut {
		what += " cut"
	}
	const format = "15:04:05.000"
	r.sends = append(r.sends, fmt.Sprintf("%s-%s %s %s", begun.Format(format), time.Now().Format(format), entry.id, what))
}

// entry is mostly one in the team's own zone.
func (c *soakCaller) entry(team *soakTeam) *instance {
	for {
		i := c.fleet.instances[c.random.IntN(len(c.fleet.instances))]
		if i.zone == team.home || c.random.IntN(8) == 0 {
			return i
		}
	}
}

func (c *soakCaller) send(entry *instance, r *soakRequest, within time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if r.kind.model() {
		return ask(ctx, entry, r.ask)
	}
	path := "/once"
	if r.kind == kindLookup {
		path = "/again"
	}
	return callAs(ctx, entry, path, r.ask, body(r.marker))
}

// judge tells what an answer means for its caller; told is false when the
// caller goes on.
func (c *soakCaller) judge(r *soakRequest, a answer, err error) (end soakEnd, told bool) {
	if err != nil {
		return endSilent, false
	}
	if r.kind.model() && a.status == http.StatusOK {
		c.compare(r, a)
	}
	if a.cut {
		c.log.addCut()
		return endSilent, false
	}
	if a.whole() {
		return endWhole, true
	}
	switch a.outcome {
	case callerapi.OutcomeNotRun:
		// Half of the callers take it as final, and hold the system to it.
		return endRefused, c.random.IntN(2) == 0
	case callerapi.OutcomeFailed:
		return endFailed, true
	case callerapi.OutcomeCompleted:
		return endRecorded, true
	case callerapi.OutcomeUnknown:
		return endUnknown, a.refused.Code == callerapi.CodeUnknown
	}
	return endSilent, false
}

// compare holds a model's answer, or the part that came, against its prompt.
func (c *soakCaller) compare(r *soakRequest, a answer) {
	want := wanted(r.ask)
	if a.whole() && a.text == want {
		return
	}
	if !a.whole() && strings.HasPrefix(want, a.text) {
		return
	}
	c.log.addWrong("%s: got %d bytes, want %d: %+v", r.marker, len(a.text), len(want), r.sends)
}
