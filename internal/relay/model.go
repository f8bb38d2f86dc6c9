package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// The figures of model requests.
const (
	// usualStart is what passes from a place to the first event: a prefill of
	// 3,000 tokens takes 100 to 200 ms, its transfer a few.
	usualStart = 250 * time.Millisecond
	// usualLength is the time that most answers take, for one without an
	// estimate.
	usualLength = 4 * time.Second
	// holdLife is how long memory is set aside: a prefill with others before
	// it takes up to a second.
	holdLife = 1800 * time.Millisecond
	// reserveTimeout bounds a question for memory, which an endpoint answers at
	// once; one that doesn't is frozen or cut off, and the request must not
	// spend its wait on it.
	reserveTimeout = 200 * time.Millisecond
	// mostAsked bounds the endpoints asked for memory in one go. The first one
	// is that with the most room by what is known here; others' news is late.
	mostAsked = 3
)

// place is memory at an endpoint for one request.
type place struct {
	endpoint *dispatch.Endpoint
	hold     string            // empty where endpoints don't set memory aside
	allotted *allocation.Place // nil where no home gave it
}

// prepareModel finds memory for the whole request where it will run, and only
// then has the prompt read. A prompt that was read and finds no memory is work
// for nothing, which takes prefill from others just when it is short.
func (l *life) prepareModel(ctx context.Context) (*dispatch.Endpoint, *Call) {
	at := l.awaitPlace(ctx)
	if at == nil {
		return nil, nil
	}
	l.allotted = at.allotted
	call := l.call(at.endpoint)
	call.Hold = at.hold
	call.Priority = l.rank()
	if l.source == nil && !l.isQuarantined() {
		l.source = l.prefill(ctx)
	}
	if l.source != nil {
		call.Source = &Source{Address: l.source.endpoint.Address, Handle: l.source.handle}
	}
	if ctx.Err() != nil || !l.maySend() {
		l.dropPlace(at)
		return nil, nil
	}
	if !l.isPermitted(ctx, at.endpoint) {
		l.dropPlace(at)
		return l.prepareModel(ctx)
	}
	call.TimeLeft = time.Until(l.deadline) - wayMargin
	return at.endpoint, call
}

// awaitPlace asks for memory until there is some, or the wait is in vain. Where a
// home says that there is none, endpoints are not asked as well: who asks them
// takes the room that comes free from those who wait for it in turn, and from
// large requests most.
func (l *life) awaitPlace(ctx context.Context) *place {
	since, waiting := l.waiting()
	defer l.router.metrics.waited(time.Now())
	for {
		pause, giveUp := waiting.Pause(time.Since(since))
		if giveUp {
			l.log("Waits no longer.", "waited_ms", time.Since(since).Milliseconds(), "target_ms", waiting.Target.Milliseconds(),
				"patience_ms", waiting.Patience.Milliseconds(), "answer_ms", waiting.Length.Milliseconds())
			return nil
		}
		at, asked := l.allot(ctx, waiting.Left(time.Since(since)))
		if asked {
			pause = allotPause
		} else if l.canBeRead() {
			found := false
			at, found = l.findPlace(ctx)
			if !found && !l.awaitUnblocked(ctx, dispatch.StageDecode) {
				return nil
			}
		}
		if at != nil {
			return at
		}
		if !sleep.For(ctx, pause) {
			return nil
		}
	}
}

// waiting is how the exchange waits, and from when its wait counts.
//
// Failure guarded: an endpoint dies under a stream, long after the target for
// its first part. One that could go on elsewhere must not be given up for that
// target; its caller now waits for the next part.
func (l *life) waiting() (since time.Time, w dispatch.Waiting) {
	since = l.x.Received
	w = dispatch.Waiting{Target: l.route.Target, Silence: silence(l.route), Start: usualStart, Length: l.answerTime()}
	if l.sends > 0 || !l.router.options.Policy.Has(dispatch.EndAtTarget) {
		w.Target = 0
	}
	if l.begun {
		since = l.progress.writtenAt
		w.Length = max(0, w.Length-since.Sub(l.progress.firstAt))
	}
	w.Patience = l.deadline.Sub(since)
	return since, w
}

// answerTime is about how long the answer takes from its first part. A caller
// that comes back late in its time with a long answer to wait for would be cut
// off in the middle of it, and the memory that it held is lost to others.
func (l *life) answerTime() time.Duration {
	if l.estimate() <= 0 {
		return usualLength
	}
	return l.router.options.Book.AnswerTime(l.service, l.estimate())
}

// estimate is how many tokens the caller expects; 0 where it doesn't say. Some
// expect more than they ask for at most.
func (l *life) estimate() int {
	if l.x.Prompt == nil {
		return 0
	}
	return min(l.x.Prompt.LikelyOut, l.x.Prompt.MaxOutput)
}

// silence is how long a caller waits for the next event of a stream, its first
// one too, before it leaves: two seconds, four times the target or eight times
// the longest pause, whichever is longest.
func silence(r *routetable.Route) time.Duration {
	return max(2*time.Second, 4*r.Target, 8*r.EventGap)
}

// findPlace asks the endpoints with the most room by what is known here. found
// is false when there are no endpoints to ask.
func (l *life) findPlace(ctx context.Context) (at *place, found bool) {
	full := map[dispatch.Incarnation]bool{}
	for id := range l.tried {
		full[id] = true
	}
	for range mostAsked {
		choice, ok := l.choose(dispatch.StageDecode, full, l.fill())
		if !ok {
			return nil, found
		}
		found = true
		if l.engine.HoldLife == 0 || l.x.Prompt == nil || !l.router.options.Policy.Has(dispatch.MemoryFirst) {
			at = &place{endpoint: choice.Endpoint}
		} else if hold, err := l.reserve(ctx, choice.Endpoint); err == nil {
			at = &place{endpoint: choice.Endpoint, hold: hold}
		}
		if at = l.permittedPlace(ctx, at); at != nil {
			return at, true
		}
		if ctx.Err() != nil {
			return nil, found
		}
		full[choice.Endpoint.Incarnation()] = true
	}
	return nil, found
}

// reserve sets memory aside for the prompt and what will likely be generated.
func (l *life) reserve(ctx context.Context, e *dispatch.Endpoint) (string, error) {
	asking, cancel := context.WithTimeoutCause(ctx, reserveTimeout, errSilent)
	defer cancel()
	reserved, err := l.router.options.Endpoints.Reserve(asking, e, l.memory(), min(holdLife, l.engine.HoldLife))
	now := time.Now()
	if reserved.Limit.Kind == endpointlimit.KindNamed {
		l.hearLimit(e, now, reserved.Limit)
	}
	l.hearUnwanted(e, reserved.Words)
	switch {
	case err == nil:
	case errors.Is(err, errSilent):
		l.router.options.Book.Note(now, e, dispatch.OutcomeUnreachable)
		l.log("Silent when asked for memory.", "endpoint", e.ID)
	case errors.Is(err, ErrNoRoom):
		l.router.options.Book.Full(now, e)
		l.router.metrics.noRoom.Inc()
		l.log("No room.", "endpoint", e.ID, "tokens", l.memory())
	case ctx.Err() == nil:
		l.router.options.Book.Note(now, e, outcomeOf(err))
		l.log("No memory was set aside.", "endpoint", e.ID, "err", err)
	}
	return reserved.Hold, err
}

// fill measures a decode endpoint by its memory, which is what limits it: a
// prompt of thousands of tokens fills a tenth of it.
func (l *life) fill() dispatch.Measure {
	memory := l.memory()
	total := l.engine.KVTokens
	return func(e *dispatch.Endpoint, own int, prompt, held int, others float64) float64 {
		if total <= 0 {
			return dispatch.ByPlaces(e, own, prompt, held, others)
		}
		used := float64(held) + others*float64(memory)
		return (used + float64(memory)) / float64(total)
	}
}
