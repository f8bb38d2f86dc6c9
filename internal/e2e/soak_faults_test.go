package e2e_test

import (
	"context"
	"fmt"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// soakFault is one fault that begins and is healed.
type soakFault struct {
	name   string
	target string // two faults of a pair have two targets
	begin  func()
	heal   func()
}

const (
	mostFaultGap  = 1500 * time.Millisecond // between the two of a pair
	leastFault    = 300 * time.Millisecond
	mostFault     = 4 * time.Second // past each lease
	mostFaultRest = time.Second
	leaveTime     = 10 * time.Second
	stopTime      = 60 * time.Second
)

// pair lets two random faults overlap, heals both and waits until all serve.
func (s *soak) pair(n int) {
	first := s.fault()
	second := s.fault()
	for second.target == first.target {
		second = s.fault()
	}
	s.t.Logf("%s pair %d: %s, %s", time.Now().Format("15:04:05.000"), n, first.name, second.name)
	first.begin()
	s.pause(0, mostFaultGap)
	second.begin()
	s.pause(leastFault, mostFault)
	first.heal()
	s.pause(0, mostFaultGap)
	second.heal()
	s.fleet.awaitCurrent(s.t, s.fleet.instances...)
	s.pause(0, mostFaultRest)
}

// pause lets a random time pass: the moment of a fault.
func (s *soak) pause(least, most time.Duration) {
	<-time.After(least + rand64(s.random.Int64N, most-least))
}

func rand64(draw func(int64) int64, most time.Duration) time.Duration {
	return time.Duration(draw(int64(most)))
}

func (s *soak) fault() soakFault {
	kinds := []func() soakFault{
		s.killed, s.frozen, s.isolated, s.deaf, s.mute, s.stopped,
		s.engineKilled, s.engineLeaves, s.engineSwitch, s.engineSwitch, s.serviceSwitch, s.zonesChange,
	}
	return kinds[s.random.IntN(len(kinds))]()
}

func (s *soak) someInstance() *instance {
	return s.fleet.instances[s.random.IntN(len(s.fleet.instances))]
}

func (s *soak) killed() soakFault {
	i := s.someInstance()
	return soakFault{"kill " + i.id, i.id, func() { i.kill(s.t) }, func() { i.start(s.t) }}
}

func (s *soak) frozen() soakFault {
	i := s.someInstance()
	return soakFault{"freeze " + i.id, i.id, func() { i.freeze(s.t) }, func() { i.thaw(s.t) }}
}

func (s *soak) isolated() soakFault { return s.cutOff("isolate", s.fleet.isolate) }

// deaf is an instance that hears nobody, and is heard.
func (s *soak) deaf() soakFault { return s.cutOff("deaf", s.fleet.deafen) }

// mute is an instance that nobody hears, and hears.
func (s *soak) mute() soakFault { return s.cutOff("mute", s.fleet.mute) }

func (s *soak) cutOff(name string, cut func(i *instance, cut bool)) soakFault {
	i := s.someInstance()
	return soakFault{name + " " + i.id, i.id, func() { cut(i, true) }, func() { cut(i, false) }}
}

func (s *soak) stopped() soakFault {
	i := s.someInstance()
	ended := make(chan error, 1)
	begin := func() {
		i.terminate(s.t)
		go func() { ended <- i.awaitEnd(stopTime) }()
	}
	heal := func() {
		assert.NilError(s.t, <-ended, "%s", i.tail())
		i.start(s.t)
	}
	return soakFault{"stop " + i.id, i.id, begin, heal}
}

func (s *soak) someEngine(plain bool) *soakEngine {
	for {
		g := s.slots[s.random.IntN(len(s.slots))]
		if (g.role == fleet.RolePlain) == plain {
			return g
		}
	}
}

func (s *soak) engineKilled() soakFault {
	g := s.someEngine(s.random.IntN(3) == 0)
	return soakFault{"engine killed " + g.id, g.id, func() { g.now.kill() }, func() { s.startEngine(g) }}
}

// engineLeaves announces its leave, goes on until it holds nothing, and comes
// back as a new process.
func (s *soak) engineLeaves() soakFault {
	g := s.someEngine(s.random.IntN(3) == 0)
	left := make(chan struct{})
	begin := func() {
		leaver := g.now
		go func() {
			defer close(left)
			ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
			defer cancel()
			_ = leaver.Leave(ctx) // a leave that nobody confirms ends as a death
		}()
	}
	heal := func() {
		<-left
		g.now.kill()
		s.startEngine(g)
	}
	return soakFault{"engine leaves " + g.id, g.id, begin, heal}
}

func (s *soak) engineSwitch() soakFault {
	g := s.someEngine(false)
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
	return s.switched(g, switches[s.random.IntN(len(switches))])
}

func (s *soak) serviceSwitch() soakFault {
	g := s.someEngine(true)
	switches := []standin.Faults{
		{FailCalls: true},
		{AbortCalls: true},
		{HangCalls: true},
		{CallDelayMs: 800},
		{Freeze: true},
	}
	return s.switched(g, switches[s.random.IntN(len(switches))])
}

func (s *soak) switched(g *soakEngine, f standin.Faults) soakFault {
	begin := func() { g.now.SetFaults(f) }
	heal := func() { g.now.SetFaults(standin.Faults{}) }
	return soakFault{fmt.Sprintf("%s %+v", g.id, f), g.id, begin, heal}
}

// zonesChange permits a team's data in the other zone too, and forbids it again.
func (s *soak) zonesChange() soakFault {
	team := s.teams[s.random.IntN(len(s.teams))]
	return soakFault{"zones of " + team.name, "team " + team.name, func() { s.widen(team) }, func() { s.narrow(team) }}
}
