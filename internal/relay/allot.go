package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// Allotter gives out places for the whole fleet. An error means that nobody
// could be asked.
type Allotter interface {
	Allot(ctx context.Context, service string, ask allocation.Ask, wait time.Duration) (allocation.Place, error)
	Settle(ctx context.Context, p allocation.Place, o allocation.Outcome) error
	// Read tells that a reader took other than was promised.
	Read(ctx context.Context, p allocation.Place, o allocation.Outcome, reading, took time.Duration) error
}

// longestAllot bounds one question for a place: who waits longer asks again. A home
// that went silent is known by nothing else, and costs this much of a target.
const longestAllot = 100 * time.Millisecond

// allotPause is the wait before the home is asked again: an endpoint that it
// named has refused, or its queue is full.
const allotPause = 5 * time.Millisecond

// allot asks the service's home for a place, and the endpoint that it names for
// its memory. asked is false when there is no home to ask.
//
// Load pattern: hundreds of entries share a hundred endpoints, each meets an
// endpoint once in minutes, and a burst fills nearly all of them. Entries that
// ask around find those full that they know nothing of.
func (l *life) allot(ctx context.Context, left time.Duration) (at *place, asked bool) {
	options := l.router.options
	candidates := l.router.candidates(l.service, dispatch.StageDecode, l.model(), l.tried)
	if options.Allotter == nil || !options.Policy.Has(dispatch.Allotment) || l.x.Prompt == nil || l.engine.HoldLife == 0 || len(candidates) == 0 {
		return nil, false
	}
	given, err := options.Allotter.Allot(ctx, l.service, l.ask(), min(longestAllot, max(left, 0)))
	if err != nil {
		l.log("No home was asked.", "err", err)
		return nil, false
	}
	if given.Endpoint == "" {
		l.log("No place came free.", "home", given.Home, "tokens", l.memory(), "among", given.Room.Among, "most_free", given.Room.MostFree)
		return nil, true
	}
	l.log("Allotted.", "home", given.Home, "endpoint", given.Endpoint, "reader", given.Reader, "backlog_ms", given.Backlog.Milliseconds())
	return l.takeAllotted(ctx, given), true
}

// takeAllotted sets memory aside where the home says that there is some.
func (l *life) takeAllotted(ctx context.Context, given allocation.Place) *place {
	e := l.endpoint(dispatch.StageDecode, given.Endpoint)
	if e == nil {
		// It has just registered, and this entry hasn't heard of it yet: nothing is
		// wrong with it.
		l.unseen = append(l.unseen, given.Endpoint)
		l.settle(given, allocation.OutcomeDone)
		return nil
	}
	hold, err := l.reserve(ctx, e)
	if err != nil {
		l.settle(given, allotOutcome(ctx, err))
		return nil
	}
	at := l.permittedPlace(ctx, &place{endpoint: e, hold: hold, allotted: &given})
	if at == nil {
		l.settle(given, allocation.OutcomeDone)
	}
	return at
}

func (l *life) endpoint(stage dispatch.Stage, id string) *dispatch.Endpoint {
	for _, e := range l.router.candidates(l.service, stage, l.model(), nil) {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// ask is what the exchange needs.
func (l *life) ask() allocation.Ask {
	book, tokens := l.router.options.Book, l.x.Prompt.Tokens
	a := allocation.Ask{
		Exchange: l.x.ID, Model: l.model(), Zone: book.Zone(), Prompt: tokens, Output: l.x.Prompt.Likely(),
		Capacity: l.engine.KVTokens, Length: l.answerTime(),
	}
	if !l.readsOwn() {
		a.Reading = book.ReadingTime(l.service, tokens, 0)
		reading := dispatch.Reading{Gap: l.route.EventGap, Policy: l.router.options.Policy}
		a.LongestBacklog, a.ReadsOwn = reading.Bounds(a.Reading)
	}
	a.Excluded = append(a.Excluded, l.unseen...)
	for id := range l.tried {
		a.Excluded = append(a.Excluded, id.ID)
	}
	a.Excluded = append(a.Excluded, book.PassedOver(time.Now(), l.router.options.View().Endpoints[l.service])...)
	return a
}

// settle gives a place back without waiting for it.
func (l *life) settle(p allocation.Place, o allocation.Outcome) {
	l.giveBack(func(ctx context.Context) {
		if err := l.router.options.Allotter.Settle(ctx, p, o); err != nil {
			l.router.options.Part.Debug("A place was not given back.", "request", p.Exchange, "home", p.Home, "err", err)
		}
	})
}

// settleAllotted gives back the place in use, when the home gave one.
func (l *life) settleAllotted(o dispatch.Outcome) {
	if l.allotted == nil {
		return
	}
	given := *l.allotted
	l.allotted = nil
	l.settle(given, endOf(o))
}

// readLate is how much later than promised a reader may be without a word: its
// transfer and the way there take some milliseconds, and each word is a call.
const readLate = 60 * time.Millisecond

// tellRead tells the home of a reader that failed, or was late.
func (l *life) tellRead(o dispatch.Outcome, alone, took time.Duration) {
	if l.allotted == nil || endOf(o) == allocation.OutcomeDone && took < l.allotted.Backlog+alone+readLate {
		return
	}
	given := *l.allotted
	l.giveBack(func(ctx context.Context) {
		if err := l.router.options.Allotter.Read(ctx, given, endOf(o), alone, took); err != nil {
			l.router.options.Part.Debug("A reader's delay was not told.", "request", given.Exchange, "home", given.Home, "err", err)
		}
	})
}

// endOf sorts how a call ended by what others need to know of its endpoint. An
// answer that was lost shows nothing of it: sound endpoints lose some, and a fleet of
// a few can't do without them.
func endOf(o dispatch.Outcome) allocation.Outcome {
	switch o {
	case dispatch.OutcomeFull:
		return allocation.OutcomeFull
	case dispatch.OutcomeUnreachable, dispatch.OutcomeMisfit:
		return allocation.OutcomeGone
	}
	return allocation.OutcomeDone
}

// allotOutcome sorts why no memory was set aside.
func allotOutcome(ctx context.Context, err error) allocation.Outcome {
	switch {
	case errors.Is(err, ErrNoRoom):
		return allocation.OutcomeFull
	case ctx.Err() != nil:
		return allocation.OutcomeDone
	case errors.Is(err, errSilent):
		return allocation.OutcomeGone
	}
	return endOf(outcomeOf(err))
}
