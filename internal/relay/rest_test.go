package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
)

// mostInRest is how many requests of an entry may come while an endpoint rests from it:
// those that were under way.
const mostInRest = 2

// restPeriod is a rest that an endpoint asked one entry for.
type restPeriod struct {
	entry       int
	from, until time.Duration
	arrivals    int
}

// countResting counts an arrival in the rests that it falls into.
func (e *limitedEndpoint) countResting(at time.Duration, entry int) {
	for n := range e.resting {
		if p := &e.resting[n]; p.entry == entry && at >= p.from && at < p.until {
			p.arrivals++
		}
	}
}

// askRest gives the rest that an endpoint asks an entry for now.
func (s *limitedService) askRest(id string, entry int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[id], time.Since(s.began)
	if e.rests == nil {
		return 0
	}
	rest := e.rests(at)
	if rest > 0 {
		e.resting = append(e.resting, restPeriod{entry: entry, from: at + limitHeard, until: at + rest})
	}
	return rest
}

// mostResting is the largest number of arrivals in one rest.
func (e *limitedEndpoint) mostResting() int {
	most := 0
	for _, p := range e.resting {
		most = max(most, p.arrivals)
	}
	return most
}

// shed asks for three seconds of rest in the middle of the play.
func shed(at time.Duration) time.Duration {
	if at < 5*time.Second || at > 12*time.Second {
		return 0
	}
	return 3 * time.Second
}

// oneHome names the same endpoint to all who ask, whatever they exclude.
type oneHome struct{ endpoint, reader string }

func (h oneHome) Allot(context.Context, string, allocation.Ask, time.Duration) (allocation.Place, error) {
	return allocation.Place{Grant: allocation.Grant{Endpoint: h.endpoint, Reader: h.reader}}, nil
}

func (oneHome) Settle(context.Context, allocation.Place, allocation.Outcome) error { return nil }

func (oneHome) Read(context.Context, allocation.Place, allocation.Outcome, time.Duration, time.Duration) error {
	return nil
}

// unwantedCase is which endpoints of four want nothing, and the path that leads to them.
type unwantedCase struct {
	name      string
	model     bool
	endpoints []string
	reading   time.Duration
	home      Allotter
}

// unwantedCases are the paths on which a request may come to an endpoint.
var unwantedCases = []unwantedCase{
	{"one of four", false, []string{"e0"}, 0, nil},
	{"all but one", false, []string{"e0", "e1", "e2"}, 0, nil},
	{"all", false, []string{"e0", "e1", "e2", "e3"}, 0, nil},
	{"reads prompts", true, []string{"e0"}, 0, nil},
	{"all that read prompts", true, []string{"e0", "e1"}, 0, nil},
	{"generates", true, []string{"e2"}, 0, nil},
	{"all that generate, and prompts take long", true, []string{"e2", "e3"}, 800 * time.Millisecond, nil},
	{"a home names it", true, []string{"e2"}, 0, oneHome{endpoint: "e2", reader: "e0"}},
	{"a home names it to read", true, []string{"e0"}, 0, oneHome{endpoint: "e2", reader: "e0"}},
}

// playUnwanted plays each case. make has an endpoint want nothing, and check holds what it
// got.
func playUnwanted(t *testing.T, make func(*limitedEndpoint), check func(t *testing.T, id string, e *limitedEndpoint)) {
	for _, test := range unwantedCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(3, test.model, nil, nil, nil, nil)
				f.service.reading = test.reading
				for _, id := range test.endpoints {
					make(f.service.endpoints[id])
				}
				for _, entry := range f.entries {
					entry.options.Allotter = test.home
				}
				f.play(t, 30)
				for id, e := range f.service.endpoints {
					check(t, id, e)
				}
				t.Logf("%d asked, %d served, %d refused", f.asked, f.served, f.refused)
			})
		})
	}
}

// Guards against an endpoint that can't recover: it asks an entry for rest, looks idle by
// then, and is sent the next request, or one that was given a place there before.
func TestRestingEndpointIsLeftAlone(t *testing.T) {
	rest := func(e *limitedEndpoint) { e.rests = shed }
	playUnwanted(t, rest, func(t *testing.T, id string, e *limitedEndpoint) {
		assert.Check(t, e.mostResting() <= mostInRest, "%s got %d requests in a rest", id, e.mostResting())
	})
}

// Guards against a word that is lost since it came with the answer to a question for
// memory and not to a request.
func TestRestIsHeardWhenMemoryIsAskedFor(t *testing.T) {
	w := newWorld(stream, gives(func() *Reply { return ok(event("1")) })).model()
	w.endpoints.words = Words{Rest: time.Minute}
	w.endpoints.rooms = []error{ErrNoRoom, ErrNoRoom}
	_, refusal := w.serve(t, modelExchange())
	assert.Assert(t, refusal != nil)
	assert.Equal(t, len(w.endpoints.calls), 0)
	assert.Assert(t, refusal.RetryAfter >= longestBlocked, "%s", refusal.RetryAfter)
}
