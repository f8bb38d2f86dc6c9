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

// reading is the state of one stream being read.
type reading struct {
	job    *job
	rest   string // of the expected text
	check  bool   // the expected text is known
	wrong  bool
	answer answer
	first  time.Time // of the first token
	last   time.Time // of the last one
	ahead  int       // tokens in the first event
	gaps   []time.Duration
}

// readStream reads the events of an answer and judges it.
func (s *sender) readStream(ctx context.Context, j *job, response *http.Response, timeout *time.Timer) answer {
	r := reading{job: j, gaps: make([]time.Duration, 0, j.maxTokens)}
	if s.expect != nil {
		r.rest, r.check = s.expect(j.prompt, j.maxTokens), true
	}
	events := newEventReader(response.Body)
	for {
		e, err := events.next()
		if err != nil {
			return r.ended(ctx, err)
		}
		if e.failed != nil {
			a := fromError(*e.failed)
			a.firstToken, a.tokens = r.answer.firstToken, r.answer.tokens
			return a
		}
		if e.done {
			return r.judge(time.Now())
		}
		if len(e.text) > 0 {
			r.take(e.text, time.Now())
			timeout.Reset(stallTimeout)
		}
	}
}

// take counts the tokens of one event.
func (r *reading) take(text []byte, now time.Time) {
	tokens := max(1, bytes.Count(text, []byte{' '}))
	if r.first.IsZero() {
		r.first, r.ahead = now, tokens
		r.answer.firstToken = now.Sub(r.job.intended)
	} else {
		r.gaps = append(r.gaps, now.Sub(r.last))
	}
	r.last = now
	r.answer.tokens += tokens
	if r.check && !r.wrong {
		rest, ok := strings.CutPrefix(r.rest, string(text))
		r.rest, r.wrong = rest, !ok
	}
}

// judge gives the verdict on a stream that said it was complete.
func (r *reading) judge(now time.Time) answer {
	a := r.answer
	a.gaps = r.gaps
	a.outcome = callerapi.OutcomeCompleted
	a.whole = now.Sub(r.job.intended)
	if later := a.tokens - r.ahead; later > 0 {
		a.meanGap = r.last.Sub(r.first) / time.Duration(later)
	}
	targets := r.job.stream.Targets
	switch {
	case r.wrong || r.rest != "":
		a.verdict, a.detail = VerdictWrong, "the text is not the answer to this prompt"
	case a.firstToken > targets.FirstToken || a.meanGap > targets.TokenGap:
		a.verdict = VerdictLate
	default:
		a.verdict = VerdictGood
	}
	return a
}

// ended judges a stream whose last event is missing.
func (r *reading) ended(ctx context.Context, err error) answer {
	a := noAnswer(ctx, err)
	a.firstToken, a.tokens, a.gaps = r.answer.firstToken, r.answer.tokens, r.gaps
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
