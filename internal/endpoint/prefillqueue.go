package endpoint

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/leastsquares"
)

const (
	serviceMemory = 100.0 // prefills that weigh, about
	serviceEnough = 4.0   // prefills before what was learned is used
	// leastRest is the share of a prefill's work that is still expected of one
	// that should have ended.
	leastRest = 0.1
)

// observeService learns the engine work of one prefill.
func (p *Predictor) observeService(model string, prompt int, work time.Duration) {
	s, ok := p.service[model]
	if !ok {
		if len(p.service) >= maxPredictorKeys {
			return
		}
		s = &leastsquares.Sums{}
		p.service[model] = s
	}
	s.Add(float64(prompt), float64(work)/float64(time.Millisecond), serviceMemory)
}

// Service predicts the engine work of one prefill, its queue not included.
func (p *Predictor) Service(model string, prompt int) time.Duration {
	s, ok := p.service[model]
	if !ok || s.Weight() < serviceEnough {
		return defaultPrefillTime
	}
	line, ok := s.Line()
	if !ok {
		return millis(s.Mean())
	}
	return millis(line.At(float64(prompt)))
}

// learnService learns from a prefill that has ended at now. An engine computes
// one prefill after another, so that its own work began when it was granted or
// when the one before it ended, whichever was later.
func (c *core) learnService(now time.Time, r *record, h *hold) {
	if h.key.kind != fleet.RolePrefill {
		return
	}
	began := later(h.granted, r.prefilled)
	r.prefilled = now
	if work := now.Sub(began); work > 0 {
		c.predictor.observeService(h.model, h.prompt, work)
	}
}

// queuedWork predicts the work ahead of a new prefill: what is left of the
// first one in the engine's order and all of the others. The engine's report
// is late: what it told has gone on since, and what was granted since is not
// in it. Where the home's own books say more, they are right.
func (c *core) queuedWork(now time.Time, r *record) time.Duration {
	own, since := time.Duration(0), time.Duration(0)
	began := r.prefilled
	for _, h := range r.prefills() {
		work := c.predictor.Service(h.model, h.prompt)
		if h.granted.After(r.loadAt) {
			since += work
		}
		if own == 0 {
			done := now.Sub(later(h.granted, began))
			work = max(work-done, time.Duration(leastRest*float64(work)))
		}
		own += work
	}
	for _, w := range r.queue.all() {
		if w.ask.kind == fleet.RolePrefill {
			own += c.predictor.Service(w.ask.model, w.ask.prompt)
		}
	}
	if r.load.PrefillQueueMs <= 0 {
		return own
	}
	told := millis(min(r.load.PrefillQueueMs, float64(maxWait.Milliseconds())))
	return max(own, told+since-now.Sub(r.loadAt))
}

// prefills gives the prefills that the engine hasn't ended, oldest first.
func (r *record) prefills() []*hold {
	var list []*hold
	for _, h := range r.holds {
		if h.key.kind == fleet.RolePrefill && h.state != holdPromised && h.stage != engineapi.StageExported {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *hold) int { return a.granted.Compare(b.granted) })
	return list
}
