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
	kindOnce   soakKind = "slip"   // a plain call that must not run twice
	kindLookup soakKind = "lookup" // a repeatable plain call
	kindStream soakKind = "stream"
	kindUnary  soakKind = "whole"
)

func (k soakKind) isModelRequest() bool { return k == kindStream || k == kindUnary }

// soakResult is what a request came to, as its caller sees it.
type soakResult string

const (
	resultComplete  soakResult = "answered whole"
	resultRecorded  soakResult = "told that it ran before"
	resultNotRun    soakResult = "refused, not run"
	resultFailed    soakResult = "failed"
	resultUnknown   soakResult = "unknown"
	resultAbandoned soakResult = "given up by its caller"
	resultNone      soakResult = "no answer yet"
)

// soakRequest is one request over all its repeats.
type soakRequest struct {
	kind    soakKind
	marker  string // its idempotency key too
	team    *soakTeam
	request request
	result  soakResult
	sendLog []string // what came of each, for a report
}

// soakLog is the callers' own record.
type soakLog struct {
	mu             sync.Mutex
	requests       []*soakRequest
	wrongTexts     []string
	truncatedCount int
}

func (l *soakLog) add(r *soakRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

func (l *soakLog) addWrongText(format string, arguments ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrongTexts = append(l.wrongTexts, fmt.Sprintf(format, arguments...))
}

func (l *soakLog) addTruncated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.truncatedCount++
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
	maxSends         = 40
	sendTimeout      = 14 * time.Second
	maxRepeatWait    = 400 * time.Millisecond
	maxImpatientWait = 600 * time.Millisecond // of a caller that leaves early
)

func (c *soakCaller) run(stop <-chan struct{}) {
	repeatUntilClosed(stop, func(n int) {
		r := c.newRequest(n)
		c.log.add(r)
		c.sendUntilDecided(r)
	})
}

func (c *soakCaller) newRequest(n int) *soakRequest {
	kinds := []soakKind{kindOnce, kindOnce, kindOnce, kindLookup, kindStream, kindStream, kindStream, kindUnary, kindUnary}
	kind := kinds[c.random.IntN(len(kinds))]
	marker := fmt.Sprintf("%s-%d-%d", kind, c.number, n)
	team := c.teams[c.random.IntN(len(c.teams))]
	tokens := 1 + c.random.IntN(120)
	return &soakRequest{
		kind: kind, marker: marker, team: team, result: resultNone,
		request: request{
			prompt:         fmt.Sprintf("%s [[id=%s]][[tokens=%d]]", strings.Repeat("verse ", c.random.IntN(600)), marker, tokens),
			maxTokens:      200,
			stream:         kind == kindStream,
			idempotencyKey: marker,
			teamKey:        team.key,
		},
	}
}

// sendUntilDecided sends a request, and again with the same key elsewhere, until its fate
// is told or the caller leaves.
func (c *soakCaller) sendUntilDecided(r *soakRequest) {
	leaves := c.random.IntN(12) == 0
	for range maxSends {
		within := sendTimeout
		if leaves {
			within = 1 + randomDuration(c.random.Int64N, maxImpatientWait)
		}
		entry := c.pickEntry(r.team)
		begun := time.Now()
		a, err := c.send(entry, r, within)
		r.recordSend(begun, entry, a, err)
		if end, told := c.classify(r, a, err); told {
			r.result = end
			return
		}
		if leaves {
			r.result = resultAbandoned
			return
		}
		<-time.After(randomDuration(c.random.Int64N, maxRepeatWait))
	}
}

func (r *soakRequest) recordSend(begun time.Time, entry *instance, a answer, err error) {
	what := fmt.Sprintf("%d %s %s %q", a.status, a.outcome, a.apiError.Code, a.apiError.Message)
	if err != nil {
		what = err.Error()
	}
	if a.truncated {
		what += " cut"
	}
	const format = "15:04:05.000"
	r.sendLog = append(r.sendLog, fmt.Sprintf("%s-%s %s %s", begun.Format(format), time.Now().Format(format), entry.id, what))
}

// pickEntry is mostly one in the team's own zone.
func (c *soakCaller) pickEntry(team *soakTeam) *instance {
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
	if r.kind.isModelRequest() {
		return sendCompletion(ctx, entry, r.request)
	}
	path := "/once"
	if r.kind == kindLookup {
		path = "/again"
	}
	return callServiceAs(ctx, entry, path, r.request, markedBody(r.marker))
}

// classify tells what an answer means for its caller; told is false when the
// caller goes on.
func (c *soakCaller) classify(r *soakRequest, a answer, err error) (end soakResult, told bool) {
	if err != nil {
		return resultNone, false
	}
	if r.kind.isModelRequest() && a.status == http.StatusOK {
		c.checkText(r, a)
	}
	if a.truncated {
		c.log.addTruncated()
		return resultNone, false
	}
	if a.isComplete() {
		return resultComplete, true
	}
	switch a.outcome {
	case callerapi.OutcomeNotRun:
		// Half of the callers take it as final, and hold the system to it.
		return resultNotRun, c.random.IntN(2) == 0
	case callerapi.OutcomeFailed:
		return resultFailed, true
	case callerapi.OutcomeCompleted:
		return resultRecorded, true
	case callerapi.OutcomeUnknown:
		return resultUnknown, a.apiError.Code == callerapi.CodeUnknown
	}
	return resultNone, false
}

// checkText holds a model's answer, or the part that came, against its prompt.
func (c *soakCaller) checkText(r *soakRequest, a answer) {
	want := expectedText(r.request)
	if a.isComplete() && a.text == want {
		return
	}
	if !a.isComplete() && strings.HasPrefix(want, a.text) {
		return
	}
	c.log.addWrongText("%s: got %d bytes, want %d: %+v", r.marker, len(a.text), len(want), r.sendLog)
}
