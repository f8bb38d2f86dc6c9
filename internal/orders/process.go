package orders

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Step is the next action that a Process requires.
type Step int

// Steps of a Process.
const (
	StepEnd     Step = iota // finished: Outcome is set
	StepRead                // read the endpoint's state, then call StateRead
	StepConfirm             // commit or confirm the order at the control group, then call Confirmed
	StepSend                // send the order to the endpoint, then call Sent or NotSent
)

// Limits of a Process.
const (
	maxTokens      = 5 // tokens for one order
	maxFailedCalls = 6 // consecutive failed calls
	baseBackoff    = 200 * time.Millisecond
)

// Bounds holds the times that a Process relies on.
type Bounds struct {
	// Lease is how long a confirmation is valid. An order is sent only within
	// it, counted from when the confirmation was requested.
	Lease time.Duration
	// MaxDuration is the maximum time that an endpoint takes for an order,
	// counted from its sending.
	MaxDuration time.Duration
}

// Process decides the steps of one order to one endpoint. It does no I/O and
// reads no clock; the caller passes all times.
//
// It guards against this failure: an issuer freezes before sending its order,
// another issues a newer order, and then the first resumes and sends the older
// one. An endpoint that checks tokens refuses it. For an endpoint that ignores
// them, three rules apply. First, an issuer sends only within the lease of a
// confirmation that its token is the newest. So once a newer token is committed,
// all older sends begin within a lease and end within the maximum duration after
// that, and the newer issuer waits for both. Second, the newer issuer reads the
// state back and reissues its order if the state doesn't show it. Third, an
// issuer that froze directly before the send, which no check can prevent,
// confirms again afterwards; if it was superseded, its outcome says that the
// newer order must be reissued.
type Process struct {
	spec   Spec
	bounds Bounds

	step    Step
	at      time.Time // earliest time for step
	outcome Outcome

	checksTokens bool   // the endpoint checks tokens
	tokenNumber  int    // number of the current token, from 1
	failedCalls  int    // consecutive failed calls
	ownPrevious  uint64 // this issuer's previous token for the endpoint, whose order has ended
	record       *pb.OrderRecord
	newest       *pb.OrderRecord
	confirmed    time.Time // when the last successful confirmation was requested
	sent         bool      // the current token was or may have been sent
	lateSend     bool      // the send may have ended after a newer issuer's wait
}

// NewProcess returns the Process of an order that starts at now.
func NewProcess(spec Spec, b Bounds, now time.Time) *Process {
	return &Process{spec: spec, bounds: b, step: StepRead, at: now, tokenNumber: 1}
}

// Next returns the next step and the earliest time for it.
func (p *Process) Next() (Step, time.Time) { return p.step, p.at }

// Outcome is set once Next returns StepEnd.
func (p *Process) Outcome() Outcome { return p.outcome }

// Newest returns the order that superseded this one.
func (p *Process) Newest() *pb.OrderRecord { return p.newest }

// OrderID returns the idempotency key of the current token.
func (p *Process) OrderID() string {
	if p.tokenNumber == 1 {
		return p.spec.ID
	}
	return fmt.Sprintf("%s#%d", p.spec.ID, p.tokenNumber)
}

// Token returns the current fencing token.
func (p *Process) Token() uint64 { return p.record.GetToken() }

// MaySend reports whether the order may still be sent at now.
func (p *Process) MaySend(now time.Time) bool {
	return !p.confirmed.IsZero() && now.Sub(p.confirmed) < p.bounds.Lease
}

// StateRead handles a reading of the endpoint's state.
func (p *Process) StateRead(now time.Time, a engineapi.Announcement, err error) {
	if err != nil {
		p.retry(now)
		return
	}
	p.failedCalls = 0
	p.checksTokens = a.ChecksFencingTokens
	switch {
	case !p.sent:
		p.setNext(StepConfirm, now)
	case p.spec.shownBy(a):
		p.finish(OutcomeDone)
	default:
		p.reissue(now)
	}
}

// reissue takes a new token because another order overwrote this one, or it was
// lost in transit.
func (p *Process) reissue(now time.Time) {
	if p.tokenNumber == maxTokens {
		p.finish(OutcomeFailed)
		return
	}
	p.tokenNumber++
	p.ownPrevious = p.record.GetToken()
	p.record, p.confirmed = nil, time.Time{}
	p.sent, p.lateSend = false, false
	p.setNext(StepConfirm, now)
}

// Confirmed handles the control group's reply to the request sent at asked.
func (p *Process) Confirmed(asked, now time.Time, r *pb.OrderReply, err error) {
	if err != nil {
		p.retry(now)
		return
	}
	p.failedCalls = 0
	if r.GetRecord() == nil {
		p.finish(OutcomeRefused)
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
		p.setNext(StepRead, now)
	case first && p.sendDelay() > 0:
		p.setNext(StepConfirm, now.Add(p.sendDelay()))
	default:
		p.setNext(StepSend, now)
	}
}

// sendDelay returns the wait between receiving the token and sending the order:
// a load's turn at the weight store, and for an endpoint that ignores tokens the
// time until all earlier orders must have ended.
func (p *Process) sendDelay() time.Duration {
	turn := time.Duration(p.record.GetDelayMs()) * time.Millisecond
	previous := p.record.GetPreviousToken()
	if p.checksTokens || previous == 0 || previous == p.ownPrevious {
		return turn
	}
	return max(turn, p.bounds.Lease+p.bounds.MaxDuration)
}

// endedInTime reports whether a send that ended at now falls within the wait of
// a newer issuer, which began its wait after the confirmation.
func (p *Process) endedInTime(now time.Time, done bool) bool {
	since := now.Sub(p.confirmed)
	if done {
		return since < p.bounds.Lease+p.bounds.MaxDuration
	}
	return since < p.bounds.Lease
}

func (p *Process) superseded() {
	if p.sent && p.lateSend && !p.checksTokens {
		p.finish(OutcomeOutOfOrder)
		return
	}
	p.finish(OutcomeSuperseded)
}

// NotSent handles a send that was withheld because the confirmation was too old
// or the issuer was not current (see membership.Source).
func (p *Process) NotSent(now time.Time) { p.setNext(StepConfirm, now.Add(baseBackoff)) }

// Sent handles the endpoint's answer: done if it carried out the order, else its
// error code, which is empty if there was no answer.
func (p *Process) Sent(now time.Time, done bool, code engineapi.Code) {
	p.sent = true
	p.lateSend = p.lateSend || !p.endedInTime(now, done)
	switch code {
	case engineapi.CodeOldToken:
		p.finish(OutcomeSuperseded)
		return
	case engineapi.CodeBadRequest, engineapi.CodeNoModel, engineapi.CodeWrongRole:
		p.finish(OutcomeRefused)
		return
	}
	if !done && code == "" {
		// The order may still be running: read the state once it must have ended.
		p.setNext(StepConfirm, now.Add(p.bounds.MaxDuration))
		return
	}
	p.setNext(StepConfirm, now)
}

func (p *Process) retry(now time.Time) {
	p.failedCalls++
	if p.failedCalls == maxFailedCalls {
		p.finish(OutcomeFailed)
		return
	}
	p.at = now.Add(baseBackoff << p.failedCalls)
}

func (p *Process) setNext(s Step, at time.Time) { p.step, p.at = s, at }

func (p *Process) finish(o Outcome) {
	p.step = StepEnd
	p.outcome = o
}
