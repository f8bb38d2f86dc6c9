package standin

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// stepPlan describes the work of one engine step.
type stepPlan struct {
	decodes     []*heldRequest
	prefill     *heldRequest
	prefillWork time.Duration // done in this step
	duration    time.Duration
}

// runBatch runs engine steps until ctx ends. Steps are scheduled at absolute
// times, so that delays of timers don't add up.
func (s *Standin) runBatch(ctx context.Context) {
	at := time.Now()
	for ctx.Err() == nil {
		if s.waitWhileFrozen(ctx.Done()) {
			at = time.Now()
		}
		plan := s.planStep()
		if plan.duration == 0 {
			select {
			case <-s.wake:
			case <-ctx.Done():
			}
			at = time.Now()
			continue
		}
		at = at.Add(plan.duration)
		if !sleep.For(ctx, time.Until(at)) {
			return
		}
		if late := time.Since(at); late > plan.duration {
			at = time.Now()
		}
		s.finishStep(plan)
	}
}

// planStep selects all decodes and one prefill, by priority, then arrival.
func (s *Standin) planStep() stepPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	var plan stepPlan
	for _, h := range s.heldRequests {
		switch h.stage {
		case engineapi.StageDecode:
			plan.decodes = append(plan.decodes, h)
		case engineapi.StagePrefill:
			if hasPrecedence(h, plan.prefill) {
				plan.prefill = h
			}
		}
	}
	if len(plan.decodes) > 0 {
		plan.duration = s.timing.step(len(plan.decodes))
	}
	if plan.prefill != nil {
		plan.prefillWork = min(plan.prefill.workLeft, s.timing.PrefillSlice)
		plan.duration += plan.prefillWork
	}
	if s.faults.StepSlowdown > 0 {
		plan.duration = time.Duration(float64(plan.duration) * s.faults.StepSlowdown)
	}
	return plan
}

func hasPrecedence(h, other *heldRequest) bool {
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
		if s.heldRequests[h.attempt] == h {
			s.emitToken(h)
		}
	}
	if h := plan.prefill; h != nil && s.heldRequests[h.attempt] == h {
		s.advancePrefill(h, plan.prefillWork, now)
	}
	s.loadSamples.add(now, s.currentLoad())
}

// emitToken generates one output token. mu is held.
func (s *Standin) emitToken(h *heldRequest) {
	h.produced++
	h.record.Tokens++
	s.recorder.audit.Tokens++
	s.growKV(h, s.timing.KVBytesPerToken)
	if h.produced >= h.totalTokens {
		h.record.Finish = h.finishReason()
		s.free(h, nil)
	}
	h.signalProgress()
}

func (h *heldRequest) finishReason() engineapi.Finish {
	if h.truncated {
		return engineapi.FinishLength
	}
	return engineapi.FinishStop
}

func (s *Standin) advancePrefill(h *heldRequest, work time.Duration, now time.Time) {
	h.workLeft -= work
	h.record.PrefillMs += milliseconds(work)
	if h.workLeft > 0 {
		return
	}
	s.finishPrefill(h, now)
}

// currentLoad returns the engine's present load. mu is held.
func (s *Standin) currentLoad() engineapi.Load {
	var l engineapi.Load
	for _, h := range s.heldRequests {
		switch h.stage {
		case engineapi.StageDecode, engineapi.StageCall:
			l.Running++
		case engineapi.StagePrefill:
			l.Waiting++
			l.PrefillQueueMs += milliseconds(h.workLeft)
		}
	}
	l.TokenTimeMs = milliseconds(s.timing.step(l.Running))
	return l
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
