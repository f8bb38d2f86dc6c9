package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
)

// maxArrivalsInCooldown is how many requests of an entry may arrive while an endpoint has a
// cooldown for it: those that were under way.
const maxArrivalsInCooldown = 2

// cooldownPeriod is a cooldown that an endpoint asked one entry for.
type cooldownPeriod struct {
	entry       int
	from, until time.Duration
	arrivals    int
}

// countDuringCooldown counts an arrival in the cooldowns that it falls into.
func (e *limitedEndpoint) countDuringCooldown(at time.Duration, entry int) {
	for n := range e.cooldowns {
		if p := &e.cooldowns[n]; p.entry == entry && at >= p.from && at < p.until {
			p.arrivals++
		}
	}
}

// requestCooldown returns the cooldown that an endpoint asks an entry for now.
func (s *limitedService) requestCooldown(id string, entry int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[id], time.Since(s.began)
	if e.cooldown == nil {
		return 0
	}
	rest := e.cooldown(at)
	if rest > 0 {
		e.cooldowns = append(e.cooldowns, cooldownPeriod{entry: entry, from: at + limitReactionTime, until: at + rest})
	}
	return rest
}

// maxCooldownArrivals returns the largest number of arrivals in one cooldown.
func (e *limitedEndpoint) maxCooldownArrivals() int {
	highest := 0
	for _, p := range e.cooldowns {
		highest = max(highest, p.arrivals)
	}
	return highest
}

// overloadCooldown requests three seconds of cooldown in the middle of the run.
func overloadCooldown(at time.Duration) time.Duration {
	if at < 5*time.Second || at > 12*time.Second {
		return 0
	}
	return 3 * time.Second
}

// fixedHome names the same endpoint for every request, whatever it excludes.
type fixedHome struct{ endpoint, prefillEndpoint string }

func (h fixedHome) Allot(context.Context, string, allocation.ReservationRequest, time.Duration) (allocation.Reservation, error) {
	return allocation.Reservation{Placement: allocation.Placement{Endpoint: h.endpoint, PrefillEndpoint: h.prefillEndpoint}}, nil
}

func (fixedHome) Settle(context.Context, allocation.Reservation, allocation.Outcome) error {
	return nil
}

func (fixedHome) Read(context.Context, allocation.Reservation, allocation.Outcome, time.Duration, time.Duration) error {
	return nil
}

// unavailableCase says which of four endpoints are unavailable, and by which path requests come.
type unavailableCase struct {
	name        string
	model       bool
	endpoints   []string
	prefillTime time.Duration
	home        Allocator
}

// unavailableCases are the paths on which a request may reach an endpoint.
var unavailableCases = []unavailableCase{
	{"one of four", false, []string{"e0"}, 0, nil},
	{"all but one", false, []string{"e0", "e1", "e2"}, 0, nil},
	{"all", false, []string{"e0", "e1", "e2", "e3"}, 0, nil},
	{"prefill endpoint", true, []string{"e0"}, 0, nil},
	{"all prefill endpoints", true, []string{"e0", "e1"}, 0, nil},
	{"decode endpoint", true, []string{"e2"}, 0, nil},
	{"all decode endpoints, with slow prefill", true, []string{"e2", "e3"}, 800 * time.Millisecond, nil},
	{"a home names it", true, []string{"e2"}, 0, fixedHome{endpoint: "e2", prefillEndpoint: "e0"}},
	{"a home names it for prefill", true, []string{"e0"}, 0, fixedHome{endpoint: "e2", prefillEndpoint: "e0"}},
}

// testUnavailable runs each case. setUp makes an endpoint unavailable, and check verifies what
// it got.
func testUnavailable(t *testing.T, setUp func(*limitedEndpoint), check func(t *testing.T, id string, e *limitedEndpoint)) {
	for _, test := range unavailableCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(3, test.model, nil, nil, nil, nil)
				f.service.prefillTime = test.prefillTime
				for _, id := range test.endpoints {
					setUp(f.service.endpoints[id])
				}
				for _, entry := range f.entries {
					entry.options.Allocator = test.home
				}
				f.runLoad(t, 30)
				for id, e := range f.service.endpoints {
					check(t, id, e)
				}
				t.Logf("%d asked, %d served, %d refused", f.asked, f.served, f.refused)
			})
		})
	}
}

// Guards against an endpoint that can't recover: it asks an entry for a cooldown, looks
// idle by then, and is sent the next request, or one that was placed there before.
func TestEndpointInCooldownGetsNoRequests(t *testing.T) {
	setUp := func(e *limitedEndpoint) { e.cooldown = overloadCooldown }
	testUnavailable(t, setUp, func(t *testing.T, id string, e *limitedEndpoint) {
		assert.Check(t, e.maxCooldownArrivals() <= maxArrivalsInCooldown, "%s got %d requests in a cooldown", id, e.maxCooldownArrivals())
	})
}

// Guards against a cooldown that is lost because it came with the answer to a reservation
// and not to a request.
func TestCooldownInReserveAnswer(t *testing.T) {
	fx := newFixture(stream, returns(func() *Reply { return ok(event("1")) })).withModel()
	fx.endpoints.signals = Signals{Cooldown: time.Minute}
	fx.endpoints.reserveErrors = []error{ErrNoMemory, ErrNoMemory}
	_, refusal := fx.serve(t, newModelExchange())
	assert.Assert(t, refusal != nil)
	assert.Equal(t, len(fx.endpoints.calls), 0)
	assert.Assert(t, refusal.RetryAfter >= maxBlockedRetryAfter, "%s", refusal.RetryAfter)
}
