package crowd

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Ordinary are ordinary requests beside a crowd.
type Ordinary struct {
	Callers int
	Pause   time.Duration // of each caller between two requests
	// Send sends one request and returns why it was not served, nil if it was, also if only after a
	// return over another connection.
	Send func(ctx context.Context, caller, n int) error

	mu       sync.Mutex // guards the fields below
	sent     int
	times    []time.Duration // of those that were served
	failures []error         // the first ones
}

// Run sends requests until ctx ends. Those that it ends are not counted.
func (o *Ordinary) Run(ctx context.Context) {
	var callers sync.WaitGroup
	for caller := range o.Callers {
		callers.Go(func() {
			pause(ctx, o.Pause*time.Duration(caller)/time.Duration(o.Callers))
			for n := 0; ctx.Err() == nil; n++ {
				o.sendOne(ctx, caller, n)
				pause(ctx, o.Pause)
			}
		})
	}
	callers.Wait()
}

func (o *Ordinary) sendOne(ctx context.Context, caller, n int) {
	began := time.Now()
	err := o.Send(context.WithoutCancel(ctx), caller, n)
	took := time.Since(began)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent++
	switch {
	case err == nil:
		o.times = append(o.times, took)
	case len(o.failures) < maxFailures:
		o.failures = append(o.failures, err)
	}
}

// Result is how ordinary requests fared.
type Result struct {
	Sent, Served int
	P50, P99     time.Duration // of those that were served
	Failures     []error       // the first ones
}

// maxFailures bounds the failures that are kept.
const maxFailures = 3

// Result returns how the requests fared.
func (o *Ordinary) Result() Result {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := Result{Sent: o.sent, Served: len(o.times), Failures: o.failures}
	if r.Served > 0 {
		slices.Sort(o.times)
		r.P50, r.P99 = o.times[r.Served/2], o.times[min(r.Served-1, r.Served*99/100)]
	}
	return r
}

// String returns k of n, and the times.
func (r Result) String() string {
	text := fmt.Sprintf("%d of %d, p50 %d ms, p99 %d ms", r.Served, r.Sent, r.P50.Milliseconds(), r.P99.Milliseconds())
	if len(r.Failures) > 0 {
		text += fmt.Sprintf(", not served: %v", r.Failures)
	}
	return text
}
