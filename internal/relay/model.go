package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// prepareModel has the prompt read at a prefill endpoint, if there is one, and
// chooses where to generate.
func (l *life) prepareModel(ctx context.Context) (*dispatch.Endpoint, *Call) {
	source := l.prefill(ctx)
	choice, ok := l.choose(dispatch.StageDecode, l.tried, l.fill())
	if !ok {
		l.release(source)
		return nil, nil
	}
	call := l.call(choice.Endpoint)
	if source != nil {
		call.Source = &Source{Address: source.endpoint.Address, Handle: source.handle}
	}
	return choice.Endpoint, call
}

// prefilled is the result of a prefill that was not taken yet.
type prefilled struct {
	endpoint *dispatch.Endpoint
	handle   string
}

// prefill reads the prompt at a prefill endpoint; nil where that failed, and
// the decode endpoint reads it itself.
func (l *life) prefill(ctx context.Context) *prefilled {
	if l.x.Prompt == nil || l.sends > 0 {
		return nil
	}
	choice, ok := l.choose(dispatch.StagePrefill, nil, byPrompt(l.x.Prompt.Tokens))
	if !ok {
		return nil
	}
	work := dispatch.Work{Prompt: l.x.Prompt.Tokens, Memory: l.x.Prompt.Tokens}
	book := l.router.options.Book
	book.Begin(time.Now(), choice.Endpoint, work)
	result, outcome := l.readPrompt(ctx, choice.Endpoint)
	book.End(time.Now(), choice.Endpoint, work, outcome)
	return result
}

func (l *life) readPrompt(ctx context.Context, e *dispatch.Endpoint) (*prefilled, dispatch.Outcome) {
	call := l.call(e)
	call.Prefill = true
	reply, err := l.router.options.Endpoints.Send(ctx, call)
	if err != nil {
		l.log("Prefill failed.", "endpoint", e.ID, "err", err)
		if ctx.Err() != nil {
			return nil, dispatch.OutcomeGivenUp
		}
		return nil, outcomeOf(err)
	}
	defer reply.Body.Close()
	if reply.Load != nil {
		l.router.options.Book.Told(time.Now(), e.ID, *reply.Load)
	}
	switch {
	case reply.Misfit:
		return nil, dispatch.OutcomeMisfit
	case reply.NotRun:
		return nil, dispatch.OutcomeFull
	case reply.Status != http.StatusOK:
		return nil, dispatch.OutcomeFailed
	}
	result, err := l.router.options.Endpoints.Prefilled(reply)
	if err != nil {
		l.log("Prefill's answer was cut off.", "endpoint", e.ID, "err", err)
		return nil, dispatch.OutcomeLost
	}
	return &prefilled{endpoint: e, handle: result.Handle}, dispatch.OutcomeServed
}

func outcomeOf(err error) dispatch.Outcome {
	if failure, ok := err.(*SendError); ok && !failure.Sent {
		return dispatch.OutcomeUnreachable
	}
	return dispatch.OutcomeLost
}

// release frees a prefill's result that nobody will take.
func (l *life) release(p *prefilled) {
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	l.router.options.Endpoints.Release(ctx, p.endpoint, p.handle)
}

// fill measures a decode endpoint by its memory, which is what limits it: a
// prompt of thousands of tokens fills a tenth of it.
func (l *life) fill() dispatch.Measure {
	memory := l.x.Prompt.Memory()
	total := l.engine.KVTokens
	return func(e *dispatch.Endpoint, own int, prompt, held int, others float64) float64 {
		if total <= 0 {
			return dispatch.ByPlaces(e, own, prompt, held, others)
		}
		used := float64(held) + others*float64(memory)
		return (used + float64(memory)) / float64(total)
	}
}

// byPrompt measures a prefill endpoint by the prompts before this one, in
// units of this one: each delays it by its own reading.
func byPrompt(tokens int) dispatch.Measure {
	return func(_ *dispatch.Endpoint, _ int, prompt, _ int, others float64) float64 {
		return float64(prompt)/float64(max(1, tokens)) + others
	}
}
