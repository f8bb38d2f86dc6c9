package orders

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Step is what a Process wants done next.
type Step int

// The steps.
const (
	StepEnd     Step = iota // Outcome is set
	StepLook                // read the endpoint's state, then Looked
	StepConfirm             // commit the order, or confirm it, then Confirmed
	StepSend                // send it to the endpoint, then Sent
)

// The bounds of a Process.
const (
	maxIssues    = 5 // tokens for one order
	maxTries     = 6 // failed calls in a row
	firstBackoff = 200 * time.Millisecond
)

// Bounds are the times that a Process relies on.
type Bounds struct {
	// Lease is how long a confirmation may be used: an order is sent only
	// within it, counted from when the confirmation was asked for.
	Lease time.Duration
	// Longest is the longest time that an endpoint takes for an order, from
	// its sending.
	Longest time.Duration
}

// Process decides the course of one order to one endpoint. It is pure; all
// times come in.
//
// Failure guarded: an issuer is frozen with an order in hand, another one
// issues a newer order, and the first wakes and sends its own. An endpoint
// that checks tokens refuses it. For one that doesn't, three things hold. An
// issuer sends only within the lease of a confirmation that its token is the
// newest, so once a newer token is committed, all older sends have begun
// within a lease and ended within the longest time after that: the newer
// issuer waits so long. It reads the state back and issues again if the order
// doesn't show. And an issuer frozen right before the send, which no check can
// prevent, confirms again afterwards; if it was superseded, its outcome says
// that the newer order must be issued again.
type Process struct {
	want   Want
	bounds Bounds

	step    Step
	at      time.Time // not before
	outcome Outcome

	checks    bool // the endpoint checks tokens
	issue     int
	tries     int
	own       uint64 // this issuer's token before the present one, known to have ended
	record    *pb.OrderRecord
	newest    *pb.OrderRecord
	confirmed time.Time // when the last good confirmation was asked for
	sent      bool      // this token was sent, or may have been
	late      bool      // the send may have ended after a newer issuer had waited
}

// NewProcess starts an order at now.
func NewProcess(w Want, b Bounds, now time.Time) *Process {
	return &Process{want: w, bounds: b, step: StepLook, at: now, issue: 1}
}

// Next gives the next step and the earliest time for it.
func (p *Process) Next() (Step, time.Time) { return p.step, p.at }

// Outcome is set once Next gives StepEnd.
func (p *Process) Outcome() Outcome { return p.outcome }

// Newest is the order that superseded this one.
func (p *Process) Newest() *pb.OrderRecord { return p.newest }

// OrderID is the idempotency key of the present token.
func (p *Process) OrderID() string {
	if p.issue == 1 {
		return p.want.ID
	}
	return fmt.Sprintf("%s#%d", p.want.ID, p.issue)
}

// Token is the present fencing token.
func (p *Process) Token() uint64 { return p.record.GetToken() }

// MaySend tells whether the order may still be sent at now.
func (p *Process) MaySend(now time.Time) bool {
	return !p.confirmed.IsZero() && now.Sub(p.confirmed) < p.bounds.Lease
}

// Looked takes a reading of the endpoint's state.
func (p *Process) Looked(now time.Time, a engineapi.Announcement, err error) {
	if err != nil {
		p.retry(now)
		return
	}
	p.tries = 0
	p.checks = a.ChecksTokens
	switch {
	case !p.sent:
		p.do(StepConfirm, now)
	case p.want.metBy(a):
		p.end(OutcomeDone)
	default:
		p.reissue(now)
	}
}

// reissue takes a new token: another order has slipped in, or this one was
// lost on the way.
func (p *Process) reissue(now time.Time) {
	if p.issue == maxIssues {
		p.end(OutcomeFailed)
		return
	}
	p.issue++
	p.own = p.record.GetToken()
	p.record, p.confirmed = nil, time.Time{}
	p.sent, p.late = false, false
	p.do(StepConfirm, now)
}

// Confirmed takes the control group's answer to the request sent at asked.
func (p *Process) Confirmed(asked, now time.Time, r *pb.OrderReply, err error) {
	if err != nil {
		p.retry(now)
		return
	}
	p.tries = 0
	if r.GetRecord() == nil {
		p.end(OutcomeRefused)
		return
	}
	first := p.record == nil
	p.record, p.newest = r.Record, r.Newest
	if p.newest.GetToken() > p.record.Token {
		p.superseded()
		return
	}
	p.confirmed = asked
	switch {
	case p.sent:
		p.do(StepLook, now)
	case first && p.pause() > 0:
		p.do(StepConfirm, now.Add(p.pause()))
	default:
		p.do(StepSend, now)
	}
}

// pause is the wait between the token and the send: a load's turn at the
// weight store, and for endpoints that ignore tokens the end of all earlier
// orders.
func (p *Process) pause() time.Duration {
	turn := time.Duration(p.record.GetDelayMs()) * time.Millisecond
	previous := p.record.GetPreviousToken()
	if p.checks || previous == 0 || previous == p.own {
		return turn
	}
	return max(turn, p.bounds.Lease+p.bounds.Longest)
}

// endedInTime tells whether a newer issuer has waited this send out: it began
// its wait after the confirmation.
func (p *Process) endedInTime(now time.Time, done bool) bool {
	since := now.Sub(p.confirmed)
	if done {
		return since < p.bounds.Lease+p.bounds.Longest
	}
	return since < p.bounds.Lease
}

func (p *Process) superseded() {
	if p.sent && p.late && !p.checks {
		p.end(OutcomeSlippedIn)
		return
	}
	p.end(OutcomeSuperseded)
}

// NotSent tells that the confirmation was too old at the send, or the issuer
// not current.
func (p *Process) NotSent(now time.Time) { p.do(StepConfirm, now.Add(firstBackoff)) }

// Sent takes the endpoint's answer: done when it has carried the order out,
// else its error code, empty when there was no answer.
func (p *Process) Sent(now time.Time, done bool, code engineapi.Code) {
	p.sent = true
	p.late = p.late || !p.endedInTime(now, done)
	switch code {
	case engineapi.CodeOldToken:
		p.end(OutcomeSuperseded)
		return
	case engineapi.CodeBadRequest, engineapi.CodeNoModel, engineapi.CodeWrongRole:
		p.end(OutcomeRefused)
		return
	}
	if !done && code == "" {
		// It may still run: its state tells once it must have ended.
		p.do(StepConfirm, now.Add(p.bounds.Longest))
		return
	}
	p.do(StepConfirm, now)
}

func (p *Process) retry(now time.Time) {
	p.tries++
	if p.tries == maxTries {
		p.end(OutcomeFailed)
		return
	}
	p.at = now.Add(firstBackoff << p.tries)
}

func (p *Process) do(s Step, at time.Time) { p.step, p.at = s, at }

func (p *Process) end(o Outcome) {
	p.step = StepEnd
	p.outcome = o
}
