package relay

import (
	"context"
	"errors"
	"sync"
	"time"
)

// MaxAddressTTL is the maximum time that callers are asked to cache an address.
const MaxAddressTTL = time.Second

// Constants of a planned shutdown.
const (
	// addressTTLFactor is how many times the stated time some callers cache an address.
	addressTTLFactor = 3
	// shutdownMargin is how long before the end of the shutdown's time the process ends by
	// itself.
	shutdownMargin = 500 * time.Millisecond
	// signalDelay is how late a busy process may learn of the signal to stop. Callers count their
	// time from the signal.
	signalDelay = 250 * time.Millisecond
	// finalAnswerMargin is how long before MaxDuration requests without an answer get a final one.
	finalAnswerMargin = 250 * time.Millisecond
	// shutdownRetryAfter is when a caller may come back that this entry refuses since it shuts
	// down: the others serve it at once.
	shutdownRetryAfter = 50 * time.Millisecond
)

// errShutdown is why an exchange's context ends that has no answer when the entry is about to end.
var errShutdown = errors.New("the entry shuts down")

// ShutdownPlan plans an entry's shutdown: it leaves the address lists, keeps serving until
// callers have moved, and ends when nothing is in flight or its time is up.
//
// Load pattern: entries are stopped one after another under full load, and callers that
// cached an address past its time still connect. An entry that closed its listener at once
// would refuse them.
type ShutdownPlan struct {
	Timeout time.Duration // time from the start of the shutdown until the process is killed
}

// MaxDuration returns when to end at the latest, counted from the start of the shutdown.
func (p ShutdownPlan) MaxDuration() time.Duration { return max(0, p.Timeout-shutdownMargin) }

// AcceptDuration returns how long to accept new requests: as long as callers cache an address, but
// at most three quarters of MaxDuration, so that requests still in flight can finish.
func (p ShutdownPlan) AcceptDuration() time.Duration {
	return min(addressTTLFactor*MaxAddressTTL, p.MaxDuration()*3/4)
}

// LongDuration returns how long to accept requests that may last beyond FinalAnswerDuration.
func (p ShutdownPlan) LongDuration() time.Duration { return max(0, p.AcceptDuration()-signalDelay) }

// FinalAnswerDuration returns when requests that have no answer yet get a final one.
func (p ShutdownPlan) FinalAnswerDuration() time.Duration {
	return max(0, p.MaxDuration()-finalAnswerMargin)
}

// Shutdown is the shutdown of an entry, by which its router accepts and ends exchanges: what may last
// longer than the entry does is refused, and what has no answer when it ends gets a final one. A nil
// Shutdown never begins. It is safe for concurrent use.
type Shutdown struct {
	plan   ShutdownPlan
	ending context.Context // ends when unanswered exchanges get a final answer
	end    context.CancelFunc

	mu    sync.Mutex // guards began
	began time.Time  // zero before the shutdown
}

// NewShutdown returns a Shutdown that has not begun.
func NewShutdown(plan ShutdownPlan) *Shutdown {
	s := &Shutdown{plan: plan}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Begin begins the shutdown. It is called once. The context ends when the entry must end.
func (s *Shutdown) Begin() (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Now()
	time.AfterFunc(s.plan.FinalAnswerDuration(), s.end)
	return context.WithDeadline(context.Background(), s.began.Add(s.plan.MaxDuration()))
}

// AwaitCallers returns when callers that keep an address have moved, or the entry must end its
// connections so that the requests in flight can finish.
func (s *Shutdown) AwaitCallers() {
	s.mu.Lock()
	began := s.began
	s.mu.Unlock()
	time.Sleep(time.Until(began.Add(s.plan.AcceptDuration())))
}

// accepts reports whether an exchange that was received at a time, and lasts until deadline at most,
// may be served.
func (s *Shutdown) accepts(received, deadline time.Time) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began.IsZero() || received.Before(s.began.Add(s.plan.LongDuration())) || deadline.Before(s.began.Add(s.plan.FinalAnswerDuration()))
}

// unanswered is an exchange without an answer, which the shutdown of its entry ends.
type unanswered struct {
	mu        sync.Mutex // guards answering
	answering bool
	cancel    context.CancelCauseFunc
}

// watch returns a context that ends with the shutdown, unless the answer has begun. stop must be
// called when the exchange has ended.
func (s *Shutdown) watch(ctx context.Context) (_ context.Context, u *unanswered, stop func()) {
	u = &unanswered{}
	if s == nil {
		return ctx, u, func() {}
	}
	ctx, u.cancel = context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(s.ending, u.end)
	return ctx, u, func() { unwatch(); u.cancel(nil) }
}

// begin tells that the answer begins.
func (u *unanswered) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answering = true
}

func (u *unanswered) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.answering {
		u.cancel(errShutdown)
	}
}
