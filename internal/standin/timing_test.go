package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var testModel = engineapi.ModelRef{Model: "m", Version: "1"}

// withEngine runs an engine without sockets on synctest's clock and calls body.
func withEngine(t *testing.T, timing Timing, body func(s *Standin)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s, err := New(Options{ID: "e", Timing: timing, Models: []engineapi.ModelRef{testModel}, Advertise: "e:1"})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		body(s)
		stop()
		assert.NilError(t, <-done)
	})
}

func (s *Standin) testWork(attempt string, priority int) engineapi.Work {
	return engineapi.Work{
		Attempt: fleet.AttemptID(attempt), Endpoint: s.options.ID,
		Incarnation: s.options.Incarnation, Model: testModel, Priority: priority,
	}
}

func startTestPrefill(t *testing.T, s *Standin, attempt string, priority int) *heldRequest {
	t.Helper()
	h, refused := s.startPrefill(engineapi.PrefillRequest{Work: s.testWork(attempt, priority), Prompt: "x"})
	assert.Assert(t, refused == nil)
	return h
}

func startTestDecode(t *testing.T, s *Standin, attempt string) *heldRequest {
	t.Helper()
	h, refused := s.startImport(engineapi.ImportRequest{Work: s.testWork(attempt, 0), Source: "other:1"})
	assert.Assert(t, refused == nil)
	h.kvArrived = true
	h, refused = s.startDecode(engineapi.DecodeRequest{Work: s.testWork(attempt, 0), Prompt: "[[tokens=10]]"})
	assert.Assert(t, refused == nil)
	return h
}

func TestTokenTimeGrowsWithTheBatch(t *testing.T) {
	for batch, want := range map[int]time.Duration{1: 110 * time.Millisecond, 20: 300 * time.Millisecond} {
		withEngine(t, Timing{}, func(s *Standin) {
			started := time.Now()
			s.SetFaults(Faults{Freeze: true})
			synctest.Wait()
			var last *heldRequest
			for n := range batch {
				last = startTestDecode(t, s, string(rune('a'+n)))
			}
			s.SetFaults(Faults{})
			<-last.ctx.Done()
			assert.Equal(t, time.Since(started), want)
		})
	}
}

func TestSlowFaultLengthensSteps(t *testing.T) {
	withEngine(t, Timing{}, func(s *Standin) {
		s.SetFaults(Faults{StepSlowdown: 3})
		synctest.Wait()
		started := time.Now()
		<-startTestDecode(t, s, "a").ctx.Done()
		assert.Equal(t, time.Since(started), 330*time.Millisecond)
	})
}

func TestPrefillGoesByPriority(t *testing.T) {
	withEngine(t, Timing{}, func(s *Standin) {
		started := time.Now()
		s.SetFaults(Faults{Freeze: true})
		synctest.Wait()
		low := startTestPrefill(t, s, "low", 0)
		high := startTestPrefill(t, s, "high", 1)
		s.SetFaults(Faults{})
		work := s.timing.prefill(1)
		<-high.ready
		assert.Equal(t, time.Since(started), work)
		<-low.ready
		assert.Equal(t, time.Since(started), 2*work)
	})
}

func TestQueuedPrefillEndsAtItsDeadline(t *testing.T) {
	withEngine(t, Timing{}, func(s *Standin) {
		startTestPrefill(t, s, "first", 1)
		second := startTestPrefill(t, s, "second", 0)
		assert.Assert(t, !s.waitPrefill(t.Context(), second, 50))
		assert.ErrorIs(t, context.Cause(second.ctx), errDeadlinePassed)
	})
}

func TestLinkIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(1000)
		started := time.Now()
		done := make(chan time.Duration, 2)
		for range 2 {
			go func() {
				for range 100 {
					l.transfer(t.Context(), 5)
				}
				done <- time.Since(started)
			}()
		}
		first, second := <-done, <-done
		assert.Assert(t, first >= 990*time.Millisecond, "%s", first)
		assert.Equal(t, second, time.Second)
	})
}

func TestLoadIsReportedLate(t *testing.T) {
	var h loadHistory
	started := time.Unix(1000, 0)
	for n := range 3000 {
		h.add(started.Add(time.Duration(n)*loadSampleInterval), engineapi.Load{Running: n})
	}
	now := started.Add(2999 * loadSampleInterval)
	assert.Equal(t, h.latestBefore(now, 5*loadSampleInterval).Running, 2994)
	assert.Equal(t, h.latestBefore(now, 5*loadSampleInterval).AgeMs, int64(100))
	assert.Equal(t, h.latestBefore(now, time.Hour).Running, 0)
	assert.Assert(t, len(h.samples) <= maxLoadSamples)
}

func TestPrefixCacheEvictsTheOldest(t *testing.T) {
	c := newPrefixCache(2)
	c.store([]uint64{1, 2})
	assert.Equal(t, c.matchPrefix([]uint64{1}), 1)
	events := c.store([]uint64{3})
	assert.DeepEqual(t, events, []engineapi.CacheEvent{{Sequence: 3, Prefix: 3, Stored: true}, {Sequence: 4, Prefix: 2}})
	assert.Equal(t, c.matchPrefix([]uint64{1, 2, 3}), 1)
	assert.DeepEqual(t, c.snapshot().Prefixes, []uint64{1, 3})
}

func TestCancelledSetIsBounded(t *testing.T) {
	s := newCancelledSet(3)
	for n := range 10 {
		s.add(fleet.AttemptID(rune('a' + n)))
	}
	assert.Equal(t, len(s.members), 3)
	assert.Assert(t, s.has("j") && s.has("h") && !s.has("g"))
}

func TestTextDependsOnPromptAndPosition(t *testing.T) {
	tokens, cut := OutputTokens("[[tokens=30]]", 20)
	assert.Equal(t, tokens, 20)
	assert.Assert(t, cut)
	whole := ExpectedText("p", 12)
	assert.Equal(t, ExpectedRange("p", 0, 5)+ExpectedRange("p", 5, 12), whole)
	assert.Assert(t, whole != ExpectedText("q", 12))
}

func TestOwnerOfACall(t *testing.T) {
	for text, want := range map[string]fleet.Owner{
		"entry-1/7": {Instance: "entry-1", Incarnation: 7},
		"a/b/3":     {Instance: "a/b", Incarnation: 3},
		"odd":       {Instance: "odd"},
		"odd/x":     {Instance: "odd/x"},
		"":          {},
	} {
		assert.Equal(t, parseOwner(text), want)
	}
}
