package e2e_test

import (
	"context"
	"fmt"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// soakFault is a fault that can be started and ended.
type soakFault struct {
	name   string
	target string // the faults of a pair have different targets
	begin  func()
	heal   func()
}

const (
	maxFaultGap         = 1500 * time.Millisecond // between the starts, and the ends, of a pair
	minFaultDuration    = 300 * time.Millisecond
	maxFaultDuration    = 4 * time.Second // longer than any lease
	maxRestBetweenPairs = time.Second
	leaveTimeout        = 10 * time.Second
	stopTimeout         = 60 * time.Second
)

// runFaultPair starts two random faults that overlap, ends both and waits until all
// instances are ready.
func (s *soak) runFaultPair(n int) {
	first := s.randomFault()
	second := s.randomFault()
	for second.target == first.target {
		second = s.randomFault()
	}
	s.t.Logf("%s pair %d: %s, %s", time.Now().Format("15:04:05.000"), n, first.name, second.name)
	first.begin()
	s.pause(0, maxFaultGap)
	second.begin()
	s.pause(minFaultDuration, maxFaultDuration)
	first.heal()
	s.pause(0, maxFaultGap)
	second.heal()
	s.fleet.awaitCurrent(s.t, s.fleet.instances...)
	s.pause(0, maxRestBetweenPairs)
}

// pause waits for a random time from least to most.
func (s *soak) pause(least, most time.Duration) {
	<-time.After(least + randomDuration(s.random.Int64N, most-least))
}

func randomDuration(draw func(int64) int64, most time.Duration) time.Duration {
	return time.Duration(draw(int64(most)))
}

func (s *soak) randomFault() soakFault {
	kinds := []func() soakFault{
		s.killFault, s.freezeFault, s.isolateFault, s.blockIncomingFault, s.blockOutgoingFault, s.stopFault,
		s.killEndpointFault, s.leaveFault, s.engineFault, s.engineFault, s.serviceFault, s.zonesFault,
	}
	return kinds[s.random.IntN(len(kinds))]()
}

func (s *soak) randomInstance() *instance {
	return s.fleet.instances[s.random.IntN(len(s.fleet.instances))]
}

func (s *soak) killFault() soakFault {
	i := s.randomInstance()
	return soakFault{"kill " + i.id, i.id, func() { i.kill(s.t) }, func() { i.start(s.t) }}
}

func (s *soak) freezeFault() soakFault {
	i := s.randomInstance()
	return soakFault{"freeze " + i.id, i.id, func() { i.freeze(s.t) }, func() { i.resume(s.t) }}
}

func (s *soak) isolateFault() soakFault { return s.networkFault("isolate", s.fleet.isolate) }

// blockIncomingFault drops what other instances send to an instance.
func (s *soak) blockIncomingFault() soakFault { return s.networkFault("deaf", s.fleet.blockIncoming) }

// blockOutgoingFault drops what an instance sends to other instances.
func (s *soak) blockOutgoingFault() soakFault { return s.networkFault("mute", s.fleet.blockOutgoing) }

func (s *soak) networkFault(name string, cut func(i *instance, cut bool)) soakFault {
	i := s.randomInstance()
	return soakFault{name + " " + i.id, i.id, func() { cut(i, true) }, func() { cut(i, false) }}
}

func (s *soak) stopFault() soakFault {
	i := s.randomInstance()
	ended := make(chan error, 1)
	begin := func() {
		i.terminate(s.t)
		go func() { ended <- i.awaitExit(stopTimeout) }()
	}
	heal := func() {
		assert.NilError(s.t, <-ended, "%s", i.logTail())
		i.start(s.t)
	}
	return soakFault{"stop " + i.id, i.id, begin, heal}
}

func (s *soak) randomEndpoint(plain bool) *soakEndpoint {
	for {
		g := s.endpoints[s.random.IntN(len(s.endpoints))]
		if (g.role == fleet.RolePlain) == plain {
			return g
		}
	}
}

func (s *soak) killEndpointFault() soakFault {
	g := s.randomEndpoint(s.random.IntN(3) == 0)
	return soakFault{"engine killed " + g.id, g.id, func() { g.current.kill() }, func() { s.startEndpoint(g) }}
}

// leaveFault lets an endpoint announce its leave and serve until it holds nothing,
// then starts it again with a new incarnation.
func (s *soak) leaveFault() soakFault {
	g := s.randomEndpoint(s.random.IntN(3) == 0)
	left := make(chan struct{})
	begin := func() {
		leaver := g.current
		go func() {
			defer close(left)
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			_ = leaver.Leave(ctx) // heal kills the endpoint even if no entry confirmed the leave
		}()
	}
	heal := func() {
		<-left
		g.current.kill()
		s.startEndpoint(g)
	}
	return soakFault{"engine leaves " + g.id, g.id, begin, heal}
}

func (s *soak) engineFault() soakFault {
	g := s.randomEndpoint(false)
	switches := []standin.Faults{
		{StallTransfers: true},
		{IgnoreCancels: 10},
		{StepSlowdown: 8},
		{Freeze: true},
		{DropCacheEventBatches: 10},
		{ChunkFault: standin.ChunkWrongAttempt},
		{ChunkFault: standin.ChunkEarlierIncarnation},
		{ChunkFault: standin.ChunkMissingTokens},
		{ChunkFault: standin.ChunkRepeatedToken},
		{ChunkFault: standin.ChunkTruncated},
	}
	return s.switchFault(g, switches[s.random.IntN(len(switches))])
}

func (s *soak) serviceFault() soakFault {
	g := s.randomEndpoint(true)
	switches := []standin.Faults{
		{FailCalls: true},
		{AbortCalls: true},
		{HangCalls: true},
		{CallDelayMs: 800},
		{Freeze: true},
	}
	return s.switchFault(g, switches[s.random.IntN(len(switches))])
}

func (s *soak) switchFault(g *soakEndpoint, f standin.Faults) soakFault {
	begin := func() { g.current.SetFaults(f) }
	heal := func() { g.current.SetFaults(standin.Faults{}) }
	return soakFault{fmt.Sprintf("%s %+v", g.id, f), g.id, begin, heal}
}

// zonesFault permits a team both zones, then only its home zone again.
func (s *soak) zonesFault() soakFault {
	team := s.teams[s.random.IntN(len(s.teams))]
	return soakFault{"zones of " + team.name, "team " + team.name, func() { s.widen(team) }, func() { s.narrow(team) }}
}
