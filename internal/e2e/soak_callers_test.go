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

// soakKind is the kind of a request that a caller of the soak sends.
type soakKind string

const (
	kindOnce   soakKind = "slip"   // a non-idempotent service call
	kindLookup soakKind = "lookup" // an idempotent service call
	kindStream soakKind = "stream"
	kindUnary  soakKind = "whole"
)

func (k soakKind) isModelRequest() bool { return k == kindStream || k == kindUnary }

// soakResult is the result of a request as its caller sees it.
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

// soakRequest is one request with all its repeats.
type soakRequest struct {
	kind    soakKind
	marker  string // also its idempotency key
	team    *soakTeam
	request request
	result  soakResult
	sendLog []string // time, entry and answer of each send, for failure messages
}

// soakLog is the record of all callers.
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

// soakCaller sends random requests one after the other.
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
	maxImpatientWait = 600 * time.Millisecond // of a caller that disconnects early
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

// sendUntilDecided sends a request, and repeats it with the same key at random
// entries, until its result is known or the caller gives up.
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
		if end, final := c.classify(r, a, err); final {
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

// pickEntry returns a random entry, mostly one in the team's home zone.
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

// classify returns the result of an answer for its caller; final is false when the
// caller repeats the request.
func (c *soakCaller) classify(r *soakRequest, a answer, err error) (end soakResult, final bool) {
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
		// Half of the time the caller takes it as final, so that the audit
		// checks that the request never ran.
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

// checkText checks that a model's answer is the expected text, or that an
// incomplete one is a prefix of it.
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
