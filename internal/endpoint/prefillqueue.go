package endpoint

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/leastsquares"
)

const (
	prefillSampleWindow = 100.0 // approximate number of prefills that count
	minPrefillSamples   = 4.0   // prefills before the learned time is used
	// minRemainingShare is the share of a prefill's work that is still expected
	// of one that is overdue.
	minRemainingShare = 0.1
)

// observePrefillTime learns the engine time of one prefill.
func (p *Predictor) observePrefillTime(model string, prompt int, work time.Duration) {
	s, ok := p.prefillTimes[model]
	if !ok {
		if len(p.prefillTimes) >= maxPredictorKeys {
			return
		}
		s = &leastsquares.Sums{}
		p.prefillTimes[model] = s
	}
	s.Add(float64(prompt), float64(work)/float64(time.Millisecond), prefillSampleWindow)
}

// PrefillTime predicts the engine time of one prefill, without its time in the
// queue.
func (p *Predictor) PrefillTime(model string, prompt int) time.Duration {
	s, ok := p.prefillTimes[model]
	if !ok || s.Weight() < minPrefillSamples {
		return defaultPrefillTime
	}
	line, ok := s.Fit()
	if !ok {
		return millis(s.Mean())
	}
	return millis(line.At(float64(prompt)))
}

// learnPrefillTime learns from a prefill that ended at now. An engine computes
// one prefill at a time, so this one began when it was granted or when the
// previous one ended, whichever was later.
func (c *core) learnPrefillTime(now time.Time, r *record, h *hold) {
	if h.key.kind != fleet.RolePrefill {
		return
	}
	began := later(h.grantedAt, r.lastPrefillEnd)
	r.lastPrefillEnd = now
	if work := now.Sub(began); work > 0 {
		c.predictor.observePrefillTime(h.model, h.promptTokens, work)
	}
}

// queuedWork predicts the work ahead of a new prefill: the rest of the first
// one in the engine's order and all of the others. The engine's report is out
// of date: the work reported has progressed since, and prefills granted since
// aren't included. Where the home's own estimate is higher, it is used.
func (c *core) queuedWork(now time.Time, r *record) time.Duration {
	ownEstimate, sinceReport := time.Duration(0), time.Duration(0)
	began := r.lastPrefillEnd
	for _, h := range r.prefills() {
		work := c.predictor.PrefillTime(h.model, h.promptTokens)
		if h.grantedAt.After(r.loadAt) {
			sinceReport += work
		}
		if ownEstimate == 0 {
			done := now.Sub(later(h.grantedAt, began))
			work = max(work-done, time.Duration(minRemainingShare*float64(work)))
		}
		ownEstimate += work
	}
	for _, w := range r.queue.all() {
		if w.request.kind == fleet.RolePrefill {
			ownEstimate += c.predictor.PrefillTime(w.request.model, w.request.promptTokens)
		}
	}
	if r.load.PrefillQueueMs <= 0 {
		return ownEstimate
	}
	reported := millis(min(r.load.PrefillQueueMs, float64(maxWait.Milliseconds())))
	return max(ownEstimate, reported+sinceReport-now.Sub(r.loadAt))
}

// prefills returns the prefills that the engine hasn't finished, oldest first.
func (r *record) prefills() []*hold {
	var list []*hold
	for _, h := range r.holds {
		if h.key.kind == fleet.RolePrefill && h.state != holdPending && h.stage != engineapi.StageExported {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *hold) int { return a.grantedAt.Compare(b.grantedAt) })
	return list
}
