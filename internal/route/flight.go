package route

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// flight counts the requests in flight and knows whether new ones are taken.
type flight struct {
	most int

	mu       sync.Mutex
	count    int
	draining bool
	closes   time.Time // from then on new requests are refused
}

func newFlight(most int) *flight { return &flight{most: most} }

// entryState tells why a request was not let in.
type entryState struct{ draining, full bool }

func (f *flight) enter(now time.Time) (leave func(), state entryState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closedLocked(now) {
		return nil, entryState{draining: true}
	}
	if f.count >= f.most {
		return nil, entryState{full: true}
	}
	f.count++
	return sync.OnceFunc(f.leave), entryState{}
}

func (f *flight) closedLocked(now time.Time) bool { return f.draining && !now.Before(f.closes) }

func (f *flight) closed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closedLocked(now)
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
}

func (f *flight) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

func (f *flight) drain(closes time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return
	}
	f.draining = true
	f.closes = closes
}

func (f *flight) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// drainPoll is how often a drain looks whether all requests have ended.
const drainPoll = 20 * time.Millisecond

// Drain stops taking requests once callers no longer keep this entry's
// address, then waits until none is in flight. It gives ctx's error when that
// ends first.
//
// Callers keep an address answer for Timeouts.AddressKeep and connect by
// themselves: refusing at once would show as refusals during each planned
// stop. New requests are therefore served until that time has passed.
func (r *Router) Drain(ctx context.Context) error {
	closes := time.Now().Add(r.addressKeep())
	r.flight.drain(closes)
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for {
		if !time.Now().Before(closes) && r.flight.running() == 0 && r.calls.running() == 0 {
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
	return orTime(tree.Fleet.Timeouts.AddressKeep, settings.DefaultTimeouts().AddressKeep)
}

// Draining tells whether a planned stop has begun.
func (r *Router) Draining() bool { return r.flight.isDraining() }
