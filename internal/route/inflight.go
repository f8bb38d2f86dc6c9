package route

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// inFlightRequests counts the requests in flight and records whether the entry
// still accepts new ones.
type inFlightRequests struct {
	maxCount int

	mu       sync.Mutex
	count    int
	draining bool
	closesAt time.Time // while draining, new requests are refused from this time on
}

func newInFlightRequests(maxCount int) *inFlightRequests {
	return &inFlightRequests{maxCount: maxCount}
}

// entryRefusal states why a request wasn't accepted.
type entryRefusal struct{ draining, full bool }

func (f *inFlightRequests) enter(now time.Time) (leave func(), refusal entryRefusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closedLocked(now) {
		return nil, entryRefusal{draining: true}
	}
	if f.count >= f.maxCount {
		return nil, entryRefusal{full: true}
	}
	f.count++
	return sync.OnceFunc(f.leave), entryRefusal{}
}

func (f *inFlightRequests) closedLocked(now time.Time) bool {
	return f.draining && !now.Before(f.closesAt)
}

func (f *inFlightRequests) closed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closedLocked(now)
}

func (f *inFlightRequests) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
}

func (f *inFlightRequests) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *inFlightRequests) drain(closesAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	f.closesAt = closesAt
}

func (f *inFlightRequests) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drainPollInterval is the time between two checks of Drain for requests in flight.
const drainPollInterval = 20 * time.Millisecond

// Drain stops accepting requests once Timeouts.AddressKeep has passed, then waits
// until none is in flight. It returns the error of ctx if that ends first.
//
// Callers cache an entry's address for Timeouts.AddressKeep. New requests are
// served until then; refusing them at once would cause refusals at every planned
// stop.
func (r *Router) Drain(ctx context.Context) error {
	closesAt := time.Now().Add(r.addressKeep())
	r.inFlight.drain(closesAt)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		if !time.Now().Before(closesAt) && r.inFlight.running() == 0 && r.shared.running() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (r *Router) addressKeep() time.Duration {
	tree := r.opts.Source.State().Tree
	if tree == nil {
		return settings.DefaultTimeouts().AddressKeep
	}
	return durationOrDefault(tree.Fleet.Timeouts.AddressKeep, settings.DefaultTimeouts().AddressKeep)
}

// Draining reports whether a planned stop has begun.
func (r *Router) Draining() bool { return r.inFlight.isDraining() }
