package endpoint

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/leastsquares"
)

// Predictor learns from finished work how long a hold will last: output lengths
// by team and model, token time by model, and busy time by kind of work. It is
// deterministic except for its injected random source, and not safe for
// concurrent use.
type Predictor struct {
	random          *rand.Rand
	outputLengths   map[predictorKey]*sample      // tokens
	busyMs          map[predictorKey]*sample      // of work other than decode
	tokenTimeMs     map[string]float64            // by model
	fullLengthShare map[predictorKey]float64      // share of outputs as long as allowed
	startDelayMs    map[string]float64            // from the grant of a decode slot to its use, by model
	prefillTimes    map[string]*leastsquares.Sums // engine ms over prompt tokens, by model
}

type predictorKey struct {
	team  fleet.Team
	model string
	kind  fleet.EndpointRole
}

// The defaults apply until some work has finished.
const (
	sampleSize         = 64
	tokenTimeGain      = 0.1
	defaultTokenTime   = 20 * time.Millisecond
	defaultTokens      = 128
	defaultPrefillTime = 400 * time.Millisecond
	defaultCallTime    = 100 * time.Millisecond
	medianQuantile     = 0.5
)

// NewPredictor returns a Predictor that has observed nothing.
func NewPredictor(random *rand.Rand) *Predictor {
	return &Predictor{
		random:          random,
		outputLengths:   make(map[predictorKey]*sample),
		busyMs:          make(map[predictorKey]*sample),
		tokenTimeMs:     make(map[string]float64),
		fullLengthShare: make(map[predictorKey]float64),
		startDelayMs:    make(map[string]float64),
		prefillTimes:    make(map[string]*leastsquares.Sums),
	}
}

// FinishedWork is one completed use of a slot.
type FinishedWork struct {
	Team         fleet.Team
	Model        string
	Kind         fleet.EndpointRole
	OutputTokens int
	Busy         time.Duration
}

// Observe learns from f.
func (p *Predictor) Observe(f FinishedWork) {
	if f.Busy <= 0 {
		return
	}
	ms := float64(f.Busy) / float64(time.Millisecond)
	if f.Kind != fleet.RoleDecode {
		p.learn(p.busyMs, f, ms)
		return
	}
	if f.OutputTokens <= 0 {
		return
	}
	p.learn(p.outputLengths, f, float64(f.OutputTokens))
	p.learnTokenTime(f.Model, ms/float64(f.OutputTokens))
}

func (p *Predictor) learn(m map[predictorKey]*sample, f FinishedWork, value float64) {
	for _, key := range []predictorKey{{f.Team, f.Model, f.Kind}, {"", f.Model, f.Kind}} {
		s, ok := m[key]
		if !ok {
			if len(m) >= maxPredictorKeys {
				continue
			}
			s = &sample{}
			m[key] = s
		}
		s.add(value, p.random)
	}
}

func (p *Predictor) learnTokenTime(model string, ms float64) {
	old, ok := p.tokenTimeMs[model]
	if !ok {
		if len(p.tokenTimeMs) < maxPredictorKeys {
			p.tokenTimeMs[model] = ms
		}
		return
	}
	p.tokenTimeMs[model] = old + tokenTimeGain*(ms-old)
}

// TokenTime returns the learned time between tokens of a model.
func (p *Predictor) TokenTime(model string) time.Duration {
	ms, ok := p.tokenTimeMs[model]
	if !ok {
		return defaultTokenTime
	}
	return millis(ms)
}

// Remaining predicts the remaining time of work that has run for elapsed: the
// quantile of what finished work of its kind still needed after that time.
// expected is the number of output tokens that the caller allows, or 0 if
// unknown.
func (p *Predictor) Remaining(f FinishedWork, expected int, elapsed time.Duration, quantile float64) time.Duration {
	if f.Kind != fleet.RoleDecode {
		return p.remainingBusy(f, elapsed, quantile)
	}
	each := p.TokenTime(f.Model)
	done := float64(elapsed) / float64(each)
	total, ok := sampleFor(p.outputLengths, f).quantileAbove(done, quantile)
	if !ok {
		total = fallbackLength(expected, done)
	}
	if expected > 0 {
		if quantile >= 1-p.fullLengthShare[predictorKey{f.Team, f.Model, f.Kind}] {
			total = float64(expected)
		}
		total = capLength(total, float64(expected), done)
	}
	return time.Duration((total - done) * float64(each))
}

// overdueShare is the share of the allowed length that is still expected of
// work that should have ended by the learned token time.
const overdueShare = 0.05

// capLength limits a predicted length to what the caller allows.
func capLength(length, limit, done float64) float64 {
	if done >= limit {
		return done + overdueShare*limit
	}
	return min(length, limit)
}

// appendRemaining appends remainingQuantiles equally likely remaining times of
// a hold. A decode slot is acquired before its prefill runs, so at first
// nothing is decoded in it.
func (p *Predictor) appendRemaining(list []time.Duration, h *hold, now time.Time) []time.Duration {
	f := h.finished()
	elapsed, before := now.Sub(h.grantedAt), time.Duration(0)
	if h.key.kind == fleet.RoleDecode {
		if h.enteredAt.IsZero() {
			typical := p.startDelay(f.Model)
			elapsed, before = max(elapsed-typical, 0), max(typical-elapsed, 0)
		} else {
			elapsed = now.Sub(h.enteredAt)
		}
	}
	for part := range remainingQuantiles {
		quantile := (float64(part) + 0.5) / remainingQuantiles
		list = append(list, before+max(p.Remaining(f, h.expectedTokens, elapsed, quantile), time.Millisecond))
	}
	return list
}

// observeFullLength learns how often outputs are as long as allowed. Where
// nearly all are, the allowed length predicts better than other outputs do.
func (p *Predictor) observeFullLength(f FinishedWork, allowed int) {
	if f.OutputTokens <= 0 || allowed <= 0 {
		return
	}
	key := predictorKey{f.Team, f.Model, f.Kind}
	old, ok := p.fullLengthShare[key]
	if !ok && len(p.fullLengthShare) >= maxPredictorKeys {
		return
	}
	used := 0.0
	if f.OutputTokens >= allowed {
		used = 1
	}
	p.fullLengthShare[key] = old + tokenTimeGain*(used-old)
}

// startDelay returns the typical time from the grant of a decode slot until the
// engine has the request.
func (p *Predictor) startDelay(model string) time.Duration { return millis(p.startDelayMs[model]) }

// observeStartDelay learns from one decode that has ended.
func (p *Predictor) observeStartDelay(model string, delay time.Duration) {
	old, ok := p.startDelayMs[model]
	ms := float64(delay) / float64(time.Millisecond)
	switch {
	case ok:
		p.startDelayMs[model] = old + tokenTimeGain*(ms-old)
	case len(p.startDelayMs) < maxPredictorKeys:
		p.startDelayMs[model] = ms
	}
}

// fallbackLength returns the allowed length or the default. Work that has
// already reached it is expected to double.
func fallbackLength(expected int, done float64) float64 {
	length := float64(expected)
	if expected <= 0 {
		length = defaultTokens
	}
	if done >= length {
		return 2 * done
	}
	return length
}

func (p *Predictor) remainingBusy(f FinishedWork, elapsed time.Duration, quantile float64) time.Duration {
	done := float64(elapsed) / float64(time.Millisecond)
	if total, ok := sampleFor(p.busyMs, f).quantileAbove(done, quantile); ok {
		return millis(total - done)
	}
	typical := defaultCallTime
	if f.Kind == fleet.RolePrefill {
		typical = defaultPrefillTime
	}
	if elapsed >= typical {
		return elapsed
	}
	return typical - elapsed
}

func sampleFor(m map[predictorKey]*sample, f FinishedWork) *sample {
	if s, ok := m[predictorKey{f.Team, f.Model, f.Kind}]; ok {
		return s
	}
	return m[predictorKey{"", f.Model, f.Kind}]
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sample is a sorted set of recent values. A new value replaces a random old
// one, so that old values fade out.
type sample struct{ sorted []float64 }

func (s *sample) add(value float64, random *rand.Rand) {
	if len(s.sorted) >= sampleSize {
		n := random.IntN(len(s.sorted))
		s.sorted = append(s.sorted[:n], s.sorted[n+1:]...)
	}
	at := sort.SearchFloat64s(s.sorted, value)
	s.sorted = append(s.sorted, 0)
	copy(s.sorted[at+1:], s.sorted[at:])
	s.sorted[at] = value
}

// quantileAbove returns the quantile of the values above floor; ok is false if
// there are none.
func (s *sample) quantileAbove(floor, quantile float64) (value float64, ok bool) {
	if s == nil {
		return 0, false
	}
	first := sort.Search(len(s.sorted), func(n int) bool { return s.sorted[n] > floor })
	rest := s.sorted[first:]
	if len(rest) == 0 {
		return 0, false
	}
	return rest[int(quantile*float64(len(rest)-1))], true
}
