package endpoint

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/leastsquares"
)

// Predictor learns from finished work how long a hold will last: output
// lengths by team and model, token time by model, and busy time by kind of
// work. Pure but for its injected random source. Not safe for concurrent use.
type Predictor struct {
	random  *rand.Rand
	lengths map[predictorKey]*sample      // output tokens
	busy    map[predictorKey]*sample      // ms, for work that isn't decode
	tokens  map[string]float64            // ms a token, by model
	usedUp  map[predictorKey]float64      // share of outputs as long as is allowed
	leadIns map[string]float64            // ms from the grant of a decode slot to its use, by model
	service map[string]*leastsquares.Sums // ms of engine work over prompt tokens, by model
}

type predictorKey struct {
	team  fleet.Team
	model string
	kind  fleet.EndpointRole
}

// The predictor's constants. The fallbacks hold until something has finished.
const (
	sampleSize         = 64
	tokenTimeGain      = 0.1
	defaultTokenTime   = 20 * time.Millisecond
	defaultTokens      = 128
	defaultPrefillTime = 400 * time.Millisecond
	defaultCallTime    = 100 * time.Millisecond
	medianQuantile     = 0.5
)

// NewPredictor makes one that has seen nothing.
func NewPredictor(random *rand.Rand) *Predictor {
	return &Predictor{
		random:  random,
		lengths: make(map[predictorKey]*sample),
		busy:    make(map[predictorKey]*sample),
		tokens:  make(map[string]float64),
		usedUp:  make(map[predictorKey]float64),
		leadIns: make(map[string]float64),
		service: make(map[string]*leastsquares.Sums),
	}
}

// Finished is one ended use of a slot.
type Finished struct {
	Team         fleet.Team
	Model        string
	Kind         fleet.EndpointRole
	OutputTokens int
	Busy         time.Duration
}

// Observe learns from f.
func (p *Predictor) Observe(f Finished) {
	if f.Busy <= 0 {
		return
	}
	ms := float64(f.Busy) / float64(time.Millisecond)
	if f.Kind != fleet.RoleDecode {
		p.learn(p.busy, f, ms)
		return
	}
	if f.OutputTokens <= 0 {
		return
	}
	p.learn(p.lengths, f, float64(f.OutputTokens))
	p.learnTokenTime(f.Model, ms/float64(f.OutputTokens))
}

func (p *Predictor) learn(m map[predictorKey]*sample, f Finished, value float64) {
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
	old, ok := p.tokens[model]
	if !ok {
		if len(p.tokens) < maxPredictorKeys {
			p.tokens[model] = ms
		}
		return
	}
	p.tokens[model] = old + tokenTimeGain*(ms-old)
}

// TokenTime gives the learned time between tokens of a model.
func (p *Predictor) TokenTime(model string) time.Duration {
	ms, ok := p.tokens[model]
	if !ok {
		return defaultTokenTime
	}
	return millis(ms)
}

// Remaining gives the predicted rest of work that has run for elapsed: the
// quantile of what finished work of its kind still needed after so long.
// expected is the output tokens that the caller allows, 0 if not known.
func (p *Predictor) Remaining(f Finished, expected int, elapsed time.Duration, quantile float64) time.Duration {
	if f.Kind != fleet.RoleDecode {
		return p.remainingBusy(f, elapsed, quantile)
	}
	each := p.TokenTime(f.Model)
	done := float64(elapsed) / float64(each)
	total, ok := find(p.lengths, f).above(done, quantile)
	if !ok {
		total = fallbackLength(expected, done)
	}
	if expected > 0 {
		if quantile >= 1-p.usedUp[predictorKey{f.Team, f.Model, f.Kind}] {
			total = float64(expected)
		}
		total = capLength(total, float64(expected), done)
	}
	return time.Duration((total - done) * float64(each))
}

// overdueShare of the allowed length is expected of work that should have
// ended by the learned token time, which was wrong then.
const overdueShare = 0.05

// capLength bounds a length by what the caller allows.
func capLength(length, most, done float64) float64 {
	if done >= most {
		return done + overdueShare*most
	}
	return min(length, most)
}

// rests appends restParts equally likely remaining times of a hold. A decode
// slot is taken before its prefill runs, and so its hold begins with a time in
// which nothing is decoded.
func (p *Predictor) rests(list []time.Duration, h *hold, now time.Time) []time.Duration {
	f := h.finished()
	elapsed, before := now.Sub(h.granted), time.Duration(0)
	if h.key.kind == fleet.RoleDecode {
		if h.entered.IsZero() {
			usual := p.leadIn(f.Model)
			elapsed, before = max(elapsed-usual, 0), max(usual-elapsed, 0)
		} else {
			elapsed = now.Sub(h.entered)
		}
	}
	for part := range restParts {
		quantile := (float64(part) + 0.5) / restParts
		list = append(list, before+max(p.Remaining(f, h.expected, elapsed, quantile), time.Millisecond))
	}
	return list
}

// sawAllowed learns how often outputs are as long as is allowed. Where nearly
// all are, what a caller allows tells the length better than other lengths do.
func (p *Predictor) sawAllowed(f Finished, allowed int) {
	if f.OutputTokens <= 0 || allowed <= 0 {
		return
	}
	key := predictorKey{f.Team, f.Model, f.Kind}
	old, ok := p.usedUp[key]
	if !ok && len(p.usedUp) >= maxPredictorKeys {
		return
	}
	used := 0.0
	if f.OutputTokens >= allowed {
		used = 1
	}
	p.usedUp[key] = old + tokenTimeGain*(used-old)
}

// leadIn is the usual time from the grant of a decode slot until the engine
// holds the request.
func (p *Predictor) leadIn(model string) time.Duration { return millis(p.leadIns[model]) }

// sawLeadIn learns from one decode that has ended.
func (p *Predictor) sawLeadIn(model string, took time.Duration) {
	old, ok := p.leadIns[model]
	ms := float64(took) / float64(time.Millisecond)
	switch {
	case ok:
		p.leadIns[model] = old + tokenTimeGain*(ms-old)
	case len(p.leadIns) < maxPredictorKeys:
		p.leadIns[model] = ms
	}
}

// fallbackLength expects the allowed length, and what has none to double.
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

func (p *Predictor) remainingBusy(f Finished, elapsed time.Duration, quantile float64) time.Duration {
	done := float64(elapsed) / float64(time.Millisecond)
	if total, ok := find(p.busy, f).above(done, quantile); ok {
		return millis(total - done)
	}
	usual := defaultCallTime
	if f.Kind == fleet.RolePrefill {
		usual = defaultPrefillTime
	}
	if elapsed >= usual {
		return elapsed
	}
	return usual - elapsed
}

func find(m map[predictorKey]*sample, f Finished) *sample {
	if s, ok := m[predictorKey{f.Team, f.Model, f.Kind}]; ok {
		return s
	}
	return m[predictorKey{"", f.Model, f.Kind}]
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sample is a sorted set of recent values. A new one takes the place of a
// random old one, so that old values fade out.
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

// above gives the quantile of the values over floor; ok is false without any.
func (s *sample) above(floor, quantile float64) (value float64, ok bool) {
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
