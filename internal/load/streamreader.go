package load

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// streamState is the state of one response stream while it is read.
type streamState struct {
	job              *job
	remaining        string // of the expected text
	checkText        bool   // the expected text is known
	wrong            bool
	result           requestResult
	first            time.Time // of the first token
	last             time.Time // of the last token
	firstEventTokens int
	gaps             []time.Duration
}

// readStream reads the events of a response and judges it. Each event
// with text resets timeout to stallTimeout.
func (s *sender) readStream(ctx context.Context, j *job, response *http.Response, timeout *time.Timer) requestResult {
	r := streamState{job: j, gaps: make([]time.Duration, 0, j.maxTokens)}
	if s.expect != nil {
		r.remaining, r.checkText = s.expect(j.prompt, j.maxTokens), true
	}
	events := newEventReader(response.Body)
	for {
		e, err := events.next()
		if err != nil {
			return r.judgeIncomplete(ctx, err)
		}
		if e.failed != nil {
			a := resultOfError(*e.failed)
			a.firstTokenLatency, a.tokens = r.result.firstTokenLatency, r.result.tokens
			return a
		}
		if e.done {
			return r.judge(time.Now())
		}
		if len(e.text) > 0 {
			r.addText(e.text, time.Now())
			timeout.Reset(stallTimeout)
		}
	}
}

// addText counts the tokens of one event and compares its text with the expected one.
func (r *streamState) addText(text []byte, now time.Time) {
	tokens := max(1, bytes.Count(text, []byte{' '}))
	if r.first.IsZero() {
		r.first, r.firstEventTokens = now, tokens
		r.result.firstTokenLatency = now.Sub(r.job.intended)
	} else {
		r.gaps = append(r.gaps, now.Sub(r.last))
	}
	r.last = now
	r.result.tokens += tokens
	if r.checkText && !r.wrong {
		rest, ok := strings.CutPrefix(r.remaining, string(text))
		r.remaining, r.wrong = rest, !ok
	}
}

// judge returns the result of a stream that ended with its last event.
func (r *streamState) judge(now time.Time) requestResult {
	a := r.result
	a.gaps = r.gaps
	a.outcome = callerapi.OutcomeCompleted
	a.totalLatency = now.Sub(r.job.intended)
	if later := a.tokens - r.firstEventTokens; later > 0 {
		a.meanGap = r.last.Sub(r.first) / time.Duration(later)
	}
	targets := r.job.stream.Targets
	switch {
	case r.wrong || r.remaining != "":
		a.verdict, a.detail = VerdictWrong, "the text is not the answer to this prompt"
	case a.firstTokenLatency > targets.FirstToken || a.meanGap > targets.TokenGap:
		a.verdict = VerdictLate
	default:
		a.verdict = VerdictGood
	}
	return a
}

// judgeIncomplete returns the result of a stream whose last event is missing.
func (r *streamState) judgeIncomplete(ctx context.Context, err error) requestResult {
	a := judgeTransportError(ctx, err)
	a.firstTokenLatency, a.tokens, a.gaps = r.result.firstTokenLatency, r.result.tokens, r.gaps
	if r.wrong {
		a.verdict, a.detail = VerdictWrong, "the text is not the answer to this prompt"
		return a
	}
	if a.verdict == VerdictAbandoned && !r.first.IsZero() {
		a.verdict = VerdictCut // stalled
	}
	if a.verdict == VerdictLost {
		a.verdict = VerdictCut
		if errors.Is(err, io.EOF) {
			a.detail = "no last event"
		}
	}
	return a
}
