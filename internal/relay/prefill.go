package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// The bounds of a prefill.
const (
	// leastPrefill and prefillFactor bound a prefill: at a reader that answers,
	// it takes about what was estimated. The least is under holdLife, so that
	// the endpoint that generates the answer can still read the prompt itself.
	leastPrefill  = 1200 * time.Millisecond
	prefillFactor = 4
)

// prefilled is the result of a prefill that was not taken yet.
type prefilled struct {
	endpoint *dispatch.Endpoint
	handle   string
}

// prefill reads the prompt at a prefill endpoint; nil where that failed, and
// the decode endpoint reads it itself.
func (l *life) prefill(ctx context.Context) *prefilled {
	if l.readsOwn() {
		return nil
	}
	choice, where, reservation := l.reservedReader(ctx)
	l.router.metrics.readWhere.WithLabelValues(where.String()).Inc()
	if where != dispatch.PlaceReader {
		return nil
	}
	l.prefilled = true
	work := dispatch.Work{Prompt: l.x.Prompt.Tokens, Memory: l.x.Prompt.Tokens}
	book := l.router.options.Book
	book.Begin(time.Now(), choice.Endpoint, work)
	began := time.Now()
	whole := book.ReadingTime(l.service, l.x.Prompt.Tokens, choice.Before)
	reading, cancel := context.WithTimeoutCause(ctx, max(leastPrefill, prefillFactor*whole), errSilent)
	defer cancel()
	result, outcome, arrived := l.readPrompt(reading, choice.Endpoint)
	l.settlePrefill(reservation, choice.Endpoint, outcome, arrived)
	l.progress.prefillMs = time.Since(began).Milliseconds()
	l.tellRead(outcome, book.ReadingTime(l.service, l.x.Prompt.Tokens, 0), time.Since(began))
	l.router.metrics.reading.Observe(time.Since(began).Seconds())
	if outcome == dispatch.OutcomeServed {
		book.HaveRead(time.Now(), choice.Endpoint, l.x.Prompt.Tokens, time.Since(began))
	}
	book.End(time.Now(), choice.Endpoint, work, outcome)
	return result
}

// readsOwn tells whether no reader is asked: there is no prompt, one was asked
// already, or the caller comes back for the rest of a stream.
//
// Load pattern: entries or endpoints die under load, and all callers whose
// streams broke come back at once with prompts that must be read again. Their
// answers are late in any case, while fresh requests that stand behind them at
// the readers miss their targets.
func (l *life) readsOwn() bool {
	return l.x.Prompt == nil || l.prefilled || l.returned() && l.router.options.Policy.Has(dispatch.ReturnedReadOwn)
}

// returned tells whether the caller already holds a part of the answer.
func (l *life) returned() bool { return l.x.After != "" }

// reservedReader is readerFor within the budget for retries and the reader's limit.
// Without one of these the endpoint that generates the answer reads the prompt.
func (l *life) reservedReader(ctx context.Context) (dispatch.Choice, dispatch.Place, *retrybudget.Reservation) {
	choice, where := l.readerFor()
	if where != dispatch.PlaceReader {
		return choice, where, nil
	}
	reservation, may := l.reservePrefill(choice.Endpoint)
	if may && l.isPermitted(ctx, choice.Endpoint) {
		return choice, dispatch.PlaceReader, reservation
	}
	if reservation != nil {
		reservation.Cancel()
	}
	return choice, dispatch.PlaceOwn, nil
}

// readerFor gives the reader that the home named, or the one chosen here.
func (l *life) readerFor() (dispatch.Choice, dispatch.Place) {
	if l.allotted == nil {
		return l.chooseReader()
	}
	e := l.endpoint(dispatch.StagePrefill, l.allotted.Reader)
	if e == nil {
		return dispatch.Choice{}, dispatch.PlaceOwn
	}
	alone := l.router.options.Book.ReadingTime(l.service, l.x.Prompt.Tokens, 0)
	before := float64(l.allotted.Backlog) / float64(max(alone, time.Millisecond))
	return dispatch.Choice{Endpoint: e, Before: before}, dispatch.PlaceReader
}

// chooseReader picks the endpoint that reads prompts for others with the least
// before it, and tells whether this one is read there.
func (l *life) chooseReader() (dispatch.Choice, dispatch.Place) {
	book, tokens := l.router.options.Book, l.x.Prompt.Tokens
	choice, ok := l.choose(dispatch.StagePrefill, nil, byPrompt(tokens))
	if !ok {
		return choice, dispatch.PlaceOwn
	}
	alone := book.ReadingTime(l.service, tokens, 0)
	reading := dispatch.Reading{Gap: l.route.EventGap, Policy: l.router.options.Policy}
	return choice, reading.Choose(alone, book.ReadingTime(l.service, tokens, choice.Before))
}

// readPrompt tells besides whether the call counts as an arrival: one that was accepted
// is free, and of one without an answer that isn't known.
func (l *life) readPrompt(ctx context.Context, e *dispatch.Endpoint) (result *prefilled, outcome dispatch.Outcome, arrived bool) {
	call := l.call(e)
	call.Prefill = true
	call.Priority = l.rank()
	l.noteSend(e, sendPrefill)
	sent := time.Now()
	reply, err := l.router.options.Endpoints.Send(ctx, call)
	if err != nil {
		l.log("Prefill failed.", "endpoint", e.ID, "err", err)
		arrived = outcomeOf(err) == dispatch.OutcomeLost
		if arrived && ctx.Err() == nil {
			l.noteLost(e, sent, false, err)
		}
		switch {
		case errors.Is(err, errSilent):
			return nil, dispatch.OutcomeUnreachable, arrived
		case ctx.Err() != nil:
			return nil, dispatch.OutcomeGivenUp, arrived
		}
		return nil, outcomeOf(err), arrived
	}
	defer reply.Body.Close()
	l.hear(e, sent, reply)
	if reply.Load != nil {
		l.router.options.Book.Told(time.Now(), e, *reply.Load)
	}
	switch {
	case reply.Misfit:
		return nil, dispatch.OutcomeMisfit, true
	case reply.NotRun:
		return nil, dispatch.OutcomeFull, true
	case reply.Status != http.StatusOK:
		return nil, dispatch.OutcomeFailed, true
	}
	accepted, err := l.router.options.Endpoints.Prefilled(reply)
	if err != nil {
		l.log("Prefill's answer was cut off.", "endpoint", e.ID, "err", err)
		return nil, dispatch.OutcomeLost, false
	}
	return &prefilled{endpoint: e, handle: accepted.Handle}, dispatch.OutcomeServed, false
}

func outcomeOf(err error) dispatch.Outcome {
	var failure *SendError
	if errors.As(err, &failure) && !failure.Sent {
		return dispatch.OutcomeUnreachable
	}
	return dispatch.OutcomeLost
}

// canBeRead tells whether the prompt would be read soon once it has a place.
func (l *life) canBeRead() bool {
	if l.readsOwn() {
		return true
	}
	_, where := l.chooseReader()
	return where != dispatch.PlaceLater
}

// byPrompt measures a prefill endpoint by the prompts before this one, in
// units of this one: each delays it by its own reading.
func byPrompt(tokens int) dispatch.Measure {
	return func(_ *dispatch.Endpoint, _ int, prompt, _ int, others float64) float64 {
		return float64(prompt)/float64(max(1, tokens)) + others
	}
}
