package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

const (
	simEndpoints    = 12
	simTick         = time.Millisecond
	simDuration     = 12 * time.Second
	simServiceTime  = 300 * time.Millisecond
	simMaxAttempts  = 2 // of one exchange
	simMaxExchanges = 2 // of one request: its caller repeats it once
)

// simulation is a fleet of endpoints with running requests, and the findings on these.
type simulation struct {
	random  *rand.Rand
	now     time.Duration
	losses  *LossTracker
	running []*simRequest
	refused []*simRequest
	served  int
}

// simRequest is a request that doesn't crash endpoints.
type simRequest struct {
	fingerprint        fleet.Fingerprint
	exchange, attempts int
	endpoint           int
	sent               time.Duration
	deathsMet          int
}

func newSimulation() *simulation {
	return &simulation{random: rand.New(rand.NewPCG(1, 2)), losses: NewLossTracker(DefaultLimits)}
}

func (s *simulation) at() time.Time { return lossAt(s.now) }

// run simulates about a hundred new requests per second, and calls each after every tick.
func (s *simulation) run(each func(now time.Duration)) {
	for n := 0; s.now < simDuration; s.now += simTick {
		if s.random.Float64() < 0.1 {
			n++
			s.send(&simRequest{fingerprint: fleet.Fingerprint{2, byte(n), byte(n >> 8)}})
		}
		s.serve()
		each(s.now)
	}
}

func (s *simulation) send(r *simRequest) {
	if s.losses.Find(r.fingerprint).Quarantined(s.at(), DefaultLimits) {
		s.refused = append(s.refused, r)
		return
	}
	r.attempts++
	r.endpoint, r.sent = s.random.IntN(simEndpoints), s.now
	s.running = append(s.running, r)
}

func (s *simulation) serve() {
	remaining := s.running[:0]
	for _, r := range s.running {
		if s.now-r.sent < simServiceTime {
			remaining = append(remaining, r)
			continue
		}
		s.losses.RecordAnswer(s.at(), r.fingerprint)
		s.served++
	}
	s.running = remaining
}

// crash ends all runs on an endpoint.
func (s *simulation) crash(endpoint int) {
	var lost []*simRequest
	remaining := s.running[:0]
	for _, r := range s.running {
		if r.endpoint == endpoint {
			lost = append(lost, r)
		} else {
			remaining = append(remaining, r)
		}
	}
	s.running = remaining
	for _, r := range lost {
		r.deathsMet++
		s.losses.RecordLoss(s.at(), Loss{Fingerprint: r.fingerprint, Sent: lossAt(r.sent), Ended: s.at(), Exchange: fmt.Sprint(r.fingerprint, r.exchange), Sequence: r.attempts})
		if r.attempts == simMaxAttempts {
			r.exchange, r.attempts = r.exchange+1, 0
		}
		if r.exchange < simMaxExchanges {
			s.send(r)
		}
	}
}

// A request crashes its endpoint each time it is sent, while others run there. It must be
// refused, and none of the others.
func TestNeighboursOfACrashingRequestGoOn(t *testing.T) {
	s := newSimulation()
	crashes := 0
	s.run(func(now time.Duration) {
		if now%(500*time.Millisecond) != 0 || s.losses.Find(fleet.Fingerprint{1}).Quarantined(s.at(), DefaultLimits) {
			return
		}
		crashes++
		s.losses.RecordLoss(s.at(), Loss{Fingerprint: fleet.Fingerprint{1}, Sent: s.at(), Ended: s.at(), Exchange: now.String(), Sequence: 1})
		s.crash(s.random.IntN(simEndpoints))
	})
	assert.Equal(t, crashes, MultiSuspectCrashes)
	assert.Equal(t, len(s.refused), 0)
}

// A quarter of the endpoints dies at once, three times within a second. Only a request that
// ran on one of them each time may be refused.
func TestRequestsGoOnWhenManyEndpointsDie(t *testing.T) {
	s := newSimulation()
	s.run(func(now time.Duration) {
		for _, at := range []time.Duration{5000, 5250, 5500} {
			if now == at*time.Millisecond {
				for n := range simEndpoints / 4 {
					s.crash(n)
				}
			}
		}
	})
	for _, r := range s.refused {
		assert.Assert(t, r.deathsMet >= MultiSuspectCrashes, "refused after %d deaths", r.deathsMet)
	}
	t.Logf("%d served, %d refused", s.served, len(s.refused))
}
