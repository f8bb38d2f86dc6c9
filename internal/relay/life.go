package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// life is one exchange on its way.
type life struct {
	router   *Router
	x        *Exchange
	caller   Caller
	route    *routetable.Route
	team     *routetable.Team // nil where callers need no key
	version  int64            // of the configuration that gave the route
	service  string
	engine   *routetable.Engine
	deadline time.Time

	tried     map[dispatch.Incarnation]bool // endpoints that were sent to
	sends     int
	runs      int                  // sends that may have run
	ran       bool                 // it may have run somewhere
	account   *retrybudget.Account // of arrivals at endpoints
	source    *prefilled           // result of a prefill that was not taken yet
	prefilled bool                 // a prefill was asked for; a second one would be extra
	aborted   bool                 // the answer was broken off
	begun     bool                 // the caller got the head of the answer
	lastID    string
	last      dispatch.Outcome
	// lastSeen is what came of the newest send, a prefill or the exchange itself.
	lastSeen dispatch.Outcome
	lastErr  error  // of the newest send
	chosen   string // endpoint sent to last

	trail     trail
	suspicion suspicion
	progress  progress

	allotted *allocation.Place                  // in use; nil for none
	unseen   []string                           // endpoints that a home named and that are not known here
	permits  map[dispatch.Incarnation]time.Time // when leave was asked for that was not used yet
}

// attempt is what one send gave.
type attempt struct {
	outcome dispatch.Outcome
	reply   *Reply
	body    []byte // of a whole answer
	err     error
}

func (l *life) run(ctx context.Context) *Refusal {
	l.tried = map[dispatch.Incarnation]bool{}
	l.permits = map[dispatch.Incarnation]time.Time{}
	defer l.releaseSource()
	defer l.account.Close()
	for {
		if l.isQuarantined() {
			return l.giveUp(ctx, l.whyUnsent())
		}
		endpoint, call := l.prepare(ctx)
		if endpoint == nil {
			return l.giveUp(ctx, l.whyUnsent())
		}
		if l.isQuarantined() {
			l.dropPlace(&place{endpoint: endpoint, hold: call.Hold})
			return l.giveUp(ctx, l.whyUnsent())
		}
		a := l.send(ctx, call)
		if a.outcome == dispatch.OutcomeServed {
			return nil
		}
		if ctx.Err() != nil {
			return l.giveUp(ctx, reasonOfEnd(ctx))
		}
		standing := l.standing(a)
		switch Next(standing) {
		case StepAgain:
			l.log("Sent again.", "cause", a.outcome, "after", l.lastID, "err", a.err, "budget_left", l.budgetLeft())
		case StepDeliver:
			if l.begun {
				return l.giveUp(ctx, standing.reason())
			}
			l.deliver(a)
			return nil
		case StepGiveUp:
			return l.giveUp(ctx, standing.reason())
		}
	}
}

// standing sums up the exchange after a send. It reserves another send that would be one
// more arrival.
func (l *life) standing(a attempt) Standing {
	s := Standing{
		Repeatable: l.route.Repeatable() && l.canGoOn(), Outcome: a.outcome,
		Runs: l.runs, MaxRuns: max(1, l.route.MaxAttempts), Sends: l.sends,
		TimeLeft: time.Until(l.deadline), HaveAnother: l.haveAnother(), BudgetLeft: true,
	}
	if Next(s) == StepAgain {
		s.BudgetLeft = l.maySend()
	}
	return s
}

// canGoOn tells whether another endpoint could take the answer up where it
// is: from its beginning, or after an event that has an ID.
func (l *life) canGoOn() bool { return !l.begun || l.lastID != "" }

// memory is how many tokens the exchange will likely hold at its end.
func (l *life) memory() int {
	if l.x.Prompt == nil {
		return 0
	}
	return l.x.Prompt.Tokens + l.x.Prompt.Likely()
}

func (l *life) haveAnother() bool {
	return len(l.router.candidates(l.service, l.stage(), l.model(), l.tried)) > 0
}

func (l *life) stage() dispatch.Stage {
	if l.engine == nil {
		return dispatch.StageNone
	}
	return dispatch.StageDecode
}

func (l *life) model() string {
	if l.x.Prompt == nil {
		return ""
	}
	return l.x.Prompt.Model
}

// prepare chooses where to send next.
func (l *life) prepare(ctx context.Context) (*dispatch.Endpoint, *Call) {
	if l.engine != nil {
		return l.prepareModel(ctx)
	}
	return l.preparePlain(ctx)
}

// preparePlain chooses an endpoint that may be sent the exchange.
func (l *life) preparePlain(ctx context.Context) (*dispatch.Endpoint, *Call) {
	for ctx.Err() == nil {
		choice, ok := l.choose(dispatch.StageNone, l.tried, dispatch.ByPlaces)
		switch {
		case ok && l.isPermitted(ctx, choice.Endpoint):
			return choice.Endpoint, l.call(choice.Endpoint)
		case !ok && !l.awaitUnblocked(ctx, dispatch.StageNone):
			return nil, nil
		}
	}
	return nil, nil
}

func (l *life) choose(stage dispatch.Stage, tried map[dispatch.Incarnation]bool, fill dispatch.Measure) (dispatch.Choice, bool) {
	candidates := l.router.candidates(l.service, stage, l.model(), tried)
	choice, ok := l.router.options.Book.Choose(time.Now(), candidates, fill)
	if ok {
		l.log("Chosen.", "endpoint", choice.Endpoint.ID, "stage", stage, "among", choice.Among,
			"cost", rounded(choice.Cost), "own", choice.Own, "others", rounded(choice.Others), "age_ms", choice.AgeMs)
	}
	return choice, ok
}

func (l *life) call(e *dispatch.Endpoint) *Call {
	return &Call{
		Exchange: l.x, Team: teamName(l.team), Endpoint: e, TimeLeft: time.Until(l.deadline) - wayMargin, Priority: noRank,
		Fresh: l.sends > 0, After: l.lastID,
	}
}

// send makes one send and takes in its answer. The answer of a stream is
// passed on as it comes.
func (l *life) send(ctx context.Context, c *Call) attempt {
	book := l.router.options.Book
	work := dispatch.Work{Memory: l.memory()}
	if c.Source == nil && l.x.Prompt != nil {
		work.Prompt = l.x.Prompt.Tokens
	}
	book.Begin(time.Now(), c.Endpoint, work)
	l.noteSend(c.Endpoint, l.kind())
	l.tried[c.Endpoint.Incarnation()] = true
	l.sends++
	l.chosen = c.Endpoint.ID
	l.progress.sentAt = time.Now()
	written := l.progress.writes
	a := l.exchange(ctx, c)
	if ctx.Err() != nil && a.outcome != dispatch.OutcomeServed {
		a.outcome = dispatch.OutcomeGivenUp
	}
	book.End(time.Now(), c.Endpoint, work, a.outcome)
	l.router.metrics.sends.WithLabelValues(a.outcome.String()).Inc()
	l.last, l.lastErr = a.outcome, a.err
	l.lastSeen = a.outcome
	switch a.outcome {
	case dispatch.OutcomeLost:
		l.noteLost(c.Endpoint, l.progress.sentAt, l.progress.writes > written, a.err)
	case dispatch.OutcomeServed, dispatch.OutcomeFailed:
		l.noteAnswered()
	}
	if a.outcome == dispatch.OutcomeServed && c.After == "" {
		book.HaveAnswered(l.service, l.estimate(), time.Since(l.progress.firstAt))
	}
	l.settleSource(a.outcome)
	l.settleAllotted(a.outcome)
	return a
}

// settleSource ends the use of the prompt that was read elsewhere. An endpoint
// that wasn't reached, or wasn't the one meant, has not taken it. Of others it
// isn't known: freeing what is gone does nothing.
func (l *life) settleSource(o dispatch.Outcome) {
	switch o {
	case dispatch.OutcomeServed:
		l.source = nil
	case dispatch.OutcomeUnreachable, dispatch.OutcomeMisfit:
	default:
		l.releaseSource()
	}
}

func (l *life) exchange(ctx context.Context, c *Call) attempt {
	if limit := l.tryLimit(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errSilent)
		defer cancel()
	}
	reply, err := l.router.options.Endpoints.Send(ctx, c)
	if err != nil {
		return l.failed(c.Endpoint, err)
	}
	defer reply.Body.Close()
	l.hasArrived(c.Endpoint)
	l.hear(c.Endpoint, l.progress.sentAt, reply)
	if reply.Load != nil {
		l.router.options.Book.Told(time.Now(), c.Endpoint, *reply.Load)
	}
	if reply.Misfit {
		return attempt{outcome: dispatch.OutcomeMisfit, reply: reply}
	}
	if reply.NotRun {
		l.router.options.Book.Full(time.Now(), c.Endpoint)
		return attempt{outcome: dispatch.OutcomeFull, reply: reply}
	}
	l.ran = true
	l.runs++
	if l.route.Kind == routetable.KindStream && reply.Status < http.StatusMultipleChoices {
		return l.passEvents(reply)
	}
	if l.begun {
		return attempt{outcome: dispatch.OutcomeLost, reply: reply, err: errNotResumed}
	}
	return l.whole(reply)
}

// tryFactor bounds one try of an idempotent exchange, in times of its target.
// An endpoint that went silent on an open connection is known by nothing else,
// and the exchange would spend all its time there while others are free.
const tryFactor = 2

// tryLimit is the longest that one try may take; 0 for no limit, where it is
// the last one or the exchange may not run again.
func (l *life) tryLimit() time.Duration {
	if l.route.Kind != routetable.KindIdempotent || l.runs+1 >= l.route.MaxAttempts || !l.haveAnother() {
		return 0
	}
	return tryFactor * l.route.Target
}

// failed sorts a send without an answer.
func (l *life) failed(at *dispatch.Endpoint, err error) attempt {
	var failure *SendError
	if errors.As(err, &failure) && !failure.Sent {
		return attempt{outcome: dispatch.OutcomeUnreachable, err: err}
	}
	l.hasArrived(at)
	l.ran = true
	l.runs++
	return attempt{outcome: dispatch.OutcomeLost, err: err}
}
