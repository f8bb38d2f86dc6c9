package standin

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// stepPlan is what one step of the engine does.
type stepPlan struct {
	decodes []*hold
	prefill *hold
	slice   time.Duration // prefill work in this step
	length  time.Duration
}

// runBatch steps the engine until ctx ends. Steps follow on absolute times, so
// that late wakeups of the machine don't add up.
func (s *Standin) runBatch(ctx context.Context) {
	at := time.Now()
	for ctx.Err() == nil {
		if s.waitThaw(ctx.Done()) {
			at = time.Now()
		}
		plan := s.planStep()
		if plan.length == 0 {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			at = time.Now()
			continue
		}
		at = at.Add(plan.length)
		if !sleep.For(ctx, time.Until(at)) {
			return
		}
		if late := time.Since(at); late > plan.length {
			at = time.Now()
		}
		s.finishStep(plan)
	}
}

// planStep takes all decodes and the first prefill by priority, then arrival.
func (s *Standin) planStep() stepPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	var plan stepPlan
	for _, h := range s.holds {
		switch h.stage {
		case engineapi.StageDecode:
			plan.decodes = append(plan.decodes, h)
		case engineapi.StagePrefill:
			if before(h, plan.prefill) {
				plan.prefill = h
			}
		}
	}
	if len(plan.decodes) > 0 {
		plan.length = s.timing.step(len(plan.decodes))
	}
	if plan.prefill != nil {
		plan.slice = min(plan.prefill.left, s.timing.PrefillSlice)
		plan.length += plan.slice
	}
	if s.faults.Slow > 0 {
		plan.length = time.Duration(float64(plan.length) * s.faults.Slow)
	}
	return plan
}

func before(h, other *hold) bool {
	if other == nil {
		return true
	}
	if h.priority != other.priority {
		return h.priority > other.priority
	}
	return h.arrival < other.arrival
}

func (s *Standin) finishStep(plan stepPlan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, h := range plan.decodes {
		if s.holds[h.attempt] == h {
			s.emit(h)
		}
	}
	if h := plan.prefill; h != nil && s.holds[h.attempt] == h {
		s.advancePrefill(h, plan.slice, now)
	}
	s.loads.add(now, s.load())
}

// emit makes one output token.
func (s *Standin) emit(h *hold) {
	h.produced++
	h.fact.Tokens++
	s.recorder.audit.Tokens++
	s.grow(h, s.timing.KVToken)
	if h.produced >= h.total {
		h.fact.Finish = h.finish()
		s.free(h, nil)
	}
	h.advanced()
}

func (h *hold) finish() engineapi.Finish {
	if h.cut {
		return engineapi.FinishLength
	}
	return engineapi.FinishStop
}

func (s *Standin) advancePrefill(h *hold, slice time.Duration, now time.Time) {
	h.left -= slice
	h.fact.PrefillMs += ms(slice)
	if h.left > 0 {
		return
	}
	s.finishPrefill(h, now)
}

// load gives the engine's load now. mu is held.
func (s *Standin) load() engineapi.Load {
	var l engineapi.Load
	for _, h := range s.holds {
		switch h.stage {
		case engineapi.StageDecode, engineapi.StageCall:
			l.Running++
		case engineapi.StagePrefill:
			l.Waiting++
			l.PrefillQueueMs += ms(h.left)
		}
	}
	l.TokenTimeMs = ms(s.timing.step(l.Running))
	return l
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
