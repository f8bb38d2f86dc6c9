package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// activeExchange is the state of one exchange while it is being served.
type activeExchange struct {
	router     *Router
	exchange   *Exchange
	caller     Caller
	unanswered *unanswered
	route      *routetable.Route
	team       *routetable.Team // nil where callers need no key
	version    int64            // of the configuration that has the route
	service    string
	engine     *routetable.Engine
	deadline   time.Time
	// readyAt is when its service and software version were known. A caller that returns may have
	// to wait for that, which is not held against what it waits for next.
	readyAt time.Time

	tried            map[dispatch.Incarnation]bool // endpoints that an attempt was sent to
	attempts         int                           // without prefills
	runs             int                           // attempts that may have run
	mayHaveRun       bool                          // at some endpoint
	budgetAccount    *retrybudget.Account          // of arrivals at endpoints
	unusedPrefill    *prefilledPrompt              // nil for none
	abandoned        *dispatch.Endpoint            // of a lost run that may go on there; nil for none
	prefillAttempted bool                          // a second prefill would be an extra arrival
	overloaded       bool                          // refused since its service is overloaded
	waitEnd          dispatch.WaitEnd              // why the latest wait for memory ended without any
	refusalCause     refusalCause                  // why the latest attempt was not made
	aborted          bool                          // the answer was broken off
	headSent         bool                          // the caller got the head of the answer
	lastEventID      string                        // of the last event forwarded
	software         fleet.RequiredSoftware        // of the endpoint that began the stream
	stream           streamorigin.Key              // whose record was found; zero if the caller resumes none
	beganAt          *dispatch.Endpoint            // whose event was forwarded first; nil for none
	lastOutcome      dispatch.Outcome              // of the latest attempt, without prefills
	// lastAttemptOutcome is the outcome of the latest attempt or prefill.
	lastAttemptOutcome dispatch.Outcome
	lastErr            error  // of the latest attempt
	lastEndpoint       string // ID of the endpoint of the latest attempt

	bufferedAnswer *readlimit.Hold // of the latest attempt that buffered one

	decisions decisionLog
	crashes   crashHistory
	parts     partRestriction
	progress  progress

	allocated        *allocation.Reservation            // in use, assigned by a home; nil for none
	unknownEndpoints []string                           // named by a home and not known here
	permits          map[dispatch.Incarnation]time.Time // not used yet, by when they were requested
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome dispatch.Outcome
	reply   *Reply
	body    []byte // of an answer that was received whole
	err     error
}

func (ex *activeExchange) run(ctx context.Context) *Refusal {
	ex.tried = map[dispatch.Incarnation]bool{}
	ex.permits = map[dispatch.Incarnation]time.Time{}
	defer ex.releaseUnusedPrefill()
	defer ex.budgetAccount.Close()
	defer func() { ex.bufferedAnswer.Release() }()
	for {
		if ex.isQuarantined() {
			return ex.giveUp(ctx, ex.unsentReason())
		}
		endpoint, call := ex.prepareAttempt(ctx)
		if endpoint == nil {
			return ex.giveUp(ctx, ex.unsentReason())
		}
		if ex.isQuarantined() {
			ex.releasePlacement(&placement{endpoint: endpoint, reservationID: call.ReservationID})
			return ex.giveUp(ctx, ex.unsentReason())
		}
		a := ex.sendAttempt(ctx, call)
		if a.outcome == dispatch.OutcomeServed {
			return nil
		}
		if ctx.Err() != nil {
			return ex.giveUp(ctx, endReason(ctx))
		}
		state := ex.retryState(ctx, a)
		switch NextAction(state) {
		case ActionRetry:
			ex.logDecision("Retrying.", "cause", a.outcome, "after", ex.lastEventID, "err", a.err, "budget_left", ex.budgetLeft())
		case ActionForward:
			if ex.headSent {
				return ex.giveUp(ctx, state.reason())
			}
			ex.forwardBuffered(a)
			return nil
		case ActionGiveUp:
			return ex.giveUp(ctx, state.reason())
		}
	}
}

// retryState describes the exchange after an attempt. Where it may be retried, it waits until it is
// certain where its stream began, and reserves an extra arrival in the retry budget.
func (ex *activeExchange) retryState(ctx context.Context, a attemptResult) RetryState {
	s := RetryState{
		Repeatable: ex.route.Repeatable() && ex.canResume(), Outcome: a.outcome,
		Runs: ex.runs, MaxRuns: max(1, ex.route.MaxAttempts), Attempts: ex.attempts,
		TimeLeft: time.Until(ex.deadline), HasUntriedEndpoint: ex.hasUntriedEndpoint(), BudgetLeft: true,
	}
	if NextAction(s) == ActionRetry {
		s.Repeatable = s.Repeatable && ex.isOriginCertain(ctx)
	}
	if NextAction(s) == ActionRetry {
		s.BudgetLeft = ex.reserveRetry(ctx)
	}
	return s
}

// canResume reports whether another endpoint could continue the answer: from its
// beginning, or after an event that has an ID.
func (ex *activeExchange) canResume() bool {
	return !ex.headSent || ex.lastEventID != ""
}

// memoryTokens returns how many tokens the exchange will likely hold at its end.
func (ex *activeExchange) memoryTokens() int {
	if ex.exchange.Prompt == nil {
		return 0
	}
	return ex.exchange.Prompt.Tokens + ex.exchange.Prompt.ReservedOutput()
}

// promptParts returns the parts of the prompt; none where the exchange is no model request.
func (ex *activeExchange) promptParts() fleet.PromptParts {
	if ex.exchange.Prompt == nil {
		return nil
	}
	return ex.exchange.Prompt.Parts
}

func (ex *activeExchange) hasUntriedEndpoint() bool {
	return len(ex.router.candidates(ex.filter(ex.stage()))) > 0
}

func (ex *activeExchange) stage() dispatch.Stage {
	if ex.engine == nil {
		return dispatch.StageNone
	}
	return dispatch.StageDecode
}

func (ex *activeExchange) model() string {
	if ex.exchange.Prompt == nil {
		return ""
	}
	return ex.exchange.Prompt.Model
}

// prepareAttempt chooses the endpoint of the next attempt; nil if there is none.
func (ex *activeExchange) prepareAttempt(ctx context.Context) (*dispatch.Endpoint, *Call) {
	if ex.lacksSoftware() {
		return nil, nil
	}
	if ex.engine != nil {
		return ex.prepareModel(ctx)
	}
	return ex.preparePlain(ctx)
}

// preparePlain chooses an endpoint that may be sent the exchange.
func (ex *activeExchange) preparePlain(ctx context.Context) (*dispatch.Endpoint, *Call) {
	for ctx.Err() == nil {
		choice, ok := ex.chooseEndpoint(ex.filter(dispatch.StageNone), dispatch.SlotLoad)
		switch {
		case ok && ex.isRefusedForOverload(choice):
			return nil, nil
		case ok && !ex.isRightProcess(ctx, choice.Endpoint):
			ex.skip(choice.Endpoint)
		case ok && ex.acquirePermit(ctx, choice.Endpoint):
			return choice.Endpoint, ex.newCall(choice.Endpoint)
		case !ok && !ex.awaitUnblocked(ctx, dispatch.StageNone):
			return nil, nil
		}
	}
	return nil, nil
}

func (ex *activeExchange) chooseEndpoint(f endpointFilter, load dispatch.LoadFunc) (dispatch.Choice, bool) {
	choice, ok := ex.router.options.Stats.Choose(time.Now(), ex.router.candidates(f), load)
	if ok {
		ex.logDecision("Chosen.", "endpoint", choice.Endpoint.ID, "stage", f.stage, "software", choice.Endpoint.Software, "among", choice.Candidates,
			"cost", rounded(choice.Cost), "own", choice.OwnInFlight, "others", rounded(choice.OthersInFlight), "age_ms", choice.ReportAgeMs)
	}
	return choice, ok
}

func (ex *activeExchange) newCall(e *dispatch.Endpoint) *Call {
	return &Call{
		Exchange: ex.exchange, Team: teamName(ex.team), Endpoint: e, TimeLeft: time.Until(ex.deadline) - networkMargin, Priority: noPriority,
		NewConnection: ex.attempts > 0, LastEventID: ex.lastEventID,
	}
}

// sendAttempt makes one attempt and records its result. A stream is forwarded as it
// arrives.
func (ex *activeExchange) sendAttempt(ctx context.Context, c *Call) attemptResult {
	stats := ex.router.options.Stats
	work := dispatch.Work{MemoryTokens: ex.memoryTokens()}
	if c.Source == nil && ex.exchange.Prompt != nil {
		work.PromptTokens = ex.exchange.Prompt.Tokens
	}
	stats.Begin(time.Now(), c.Endpoint, work)
	ex.recordAttempt(c.Endpoint, ex.nextAttemptKind())
	ex.tried[c.Endpoint.Incarnation()] = true
	ex.attempts++
	ex.lastEndpoint = c.Endpoint.ID
	ex.progress.sentAt = time.Now()
	ex.stopAbandoned(c.Endpoint)
	writesBefore := ex.progress.writes
	a := ex.roundTrip(ctx, c)
	if ctx.Err() != nil && a.outcome != dispatch.OutcomeServed {
		a.outcome = dispatch.OutcomeCanceled
	}
	stats.End(time.Now(), c.Endpoint, work, a.outcome)
	ex.router.metrics.attempts.WithLabelValues(a.outcome.String()).Inc()
	ex.lastOutcome, ex.lastErr = a.outcome, a.err
	ex.lastAttemptOutcome = a.outcome
	if a.reply != nil && a.reply.CloseDelimited {
		ex.router.metrics.closeDelimited.WithLabelValues(a.outcome.String()).Inc()
	}
	started := ex.progress.writes > writesBefore
	switch a.outcome {
	case dispatch.OutcomeLost:
		ex.recordAbandoned(c.Endpoint, a.err)
		ex.recordLoss(c.Endpoint, ex.progress.sentAt, started, a.err)
		ex.watchDarkness(c.Endpoint, ex.progress.sentAt, started, a)
	case dispatch.OutcomeCanceled:
		ex.watchDarkness(c.Endpoint, ex.progress.sentAt, started, a)
	case dispatch.OutcomeServed:
		ex.recordAnswered(c.Endpoint, a.reply)
	}
	if a.outcome == dispatch.OutcomeServed && c.LastEventID == "" && !isResumption(ex.exchange, ex.route) {
		stats.RecordAnswer(ex.service, ex.estimatedOutput(), time.Since(ex.progress.firstAt))
	}
	ex.settleUnusedPrefill(a.outcome)
	ex.settleActiveAllocation(a.outcome)
	return a
}

// settleUnusedPrefill ends the use of a prefill result after an attempt. An endpoint that
// wasn't reached, or was another incarnation, has not used the result. Of others it isn't
// known: freeing a result that is already gone has no effect.
func (ex *activeExchange) settleUnusedPrefill(o dispatch.Outcome) {
	switch o {
	case dispatch.OutcomeServed:
		ex.unusedPrefill = nil
	case dispatch.OutcomeUnreachable, dispatch.OutcomeWrongIncarnation:
	default:
		ex.releaseUnusedPrefill()
	}
}

func (ex *activeExchange) roundTrip(ctx context.Context, c *Call) attemptResult {
	if limit := ex.attemptTimeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limit, errNoResponse)
		defer cancel()
	}
	reply, err := ex.router.options.Endpoints.Send(ctx, c)
	if err != nil {
		return ex.failedAttempt(c.Endpoint, err)
	}
	defer reply.Body.Close()
	ex.countArrival(c.Endpoint)
	ex.progress.closeDelimited, ex.progress.endedBy, ex.progress.partialEventBytes = reply.CloseDelimited, "", 0
	ex.receiveSignals(c.Endpoint, ex.progress.sentAt, reply)
	if reply.Load != nil {
		ex.router.options.Stats.RecordLoad(time.Now(), c.Endpoint, *reply.Load)
		if ex.engine == nil && !reply.NotRun {
			ex.router.options.Stats.RecordCall(c.Endpoint, time.Since(ex.progress.sentAt), *reply.Load)
		}
	}
	if reply.WrongIncarnation {
		return attemptResult{outcome: dispatch.OutcomeWrongIncarnation, reply: reply}
	}
	if reply.NotRun {
		ex.router.options.Stats.RecordFull(time.Now(), c.Endpoint)
		return attemptResult{outcome: dispatch.OutcomeFull, reply: reply}
	}
	ex.mayHaveRun = true
	ex.runs++
	if reply.CloseDelimited {
		reply.Body = &closeDelimitedBody{Body: reply.Body, lastReadAt: ex.progress.sentAt, end: func(pause time.Duration) answerEnd {
			return ex.checkAnswerEnd(ctx, c.Endpoint, pause)
		}}
	}
	if ex.route.Kind == routetable.KindStream && reply.Status < http.StatusMultipleChoices {
		return ex.forwardEvents(c.Endpoint, reply)
	}
	if ex.headSent {
		return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: errNotResumed}
	}
	return ex.forwardWhole(c.Endpoint, reply)
}

// attemptTimeoutFactor limits one attempt of an idempotent exchange, in multiples of its
// target. Nothing else reveals an endpoint that stops answering on an open connection, and
// the exchange would spend all its time there while others are free.
const attemptTimeoutFactor = 2

// attemptTimeout returns the time limit of the next attempt; 0 for none, where it is the
// last one or the exchange may not run again.
func (ex *activeExchange) attemptTimeout() time.Duration {
	if ex.route.Kind != routetable.KindIdempotent || ex.runs+1 >= ex.route.MaxAttempts || !ex.hasUntriedEndpoint() {
		return 0
	}
	return attemptTimeoutFactor * ex.route.Target
}

// failedAttempt classifies an attempt without an answer.
func (ex *activeExchange) failedAttempt(at *dispatch.Endpoint, err error) attemptResult {
	var failure *SendError
	if errors.As(err, &failure) && !failure.Sent {
		return attemptResult{outcome: dispatch.OutcomeUnreachable, err: err}
	}
	ex.countArrival(at)
	ex.mayHaveRun = true
	ex.runs++
	return attemptResult{outcome: dispatch.OutcomeLost, err: err}
}
