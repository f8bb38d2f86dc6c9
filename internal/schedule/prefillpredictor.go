package schedule

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/leastsquares"
)

// Parameters of PrefillPredictor.
const (
	// The prediction before enough prefills are observed.
	initialPrefillBase     = 5 * time.Millisecond
	initialPrefillPerToken = 100 * time.Microsecond

	prefillWindow          = 200.0 // approximate number of observations in the decayed fit
	minPrefillObservations = 8     // observations before the fit replaces the initial line
)

// PrefillPredictor predicts a prefill's time as a linear function of the tokens
// that are not in the prefix cache, by least squares with decaying weights. Safe
// for concurrent use; Predict takes no lock.
type PrefillPredictor struct {
	mu   sync.Mutex
	sums leastsquares.Sums
	// squaredError is the sum of squared errors, with the weights of sums.
	squaredError float64
	observations int
	line         atomic.Pointer[prefillLine]
}

type prefillLine struct {
	baseMs     float64
	perTokenMs float64
	stdDevMs   float64 // of the residuals
}

// NewPrefillPredictor returns a predictor that uses the initial line.
func NewPrefillPredictor() *PrefillPredictor {
	p := &PrefillPredictor{}
	p.line.Store(&prefillLine{
		baseMs:     milliseconds(initialPrefillBase),
		perTokenMs: milliseconds(initialPrefillPerToken),
	})
	return p
}

// Predict returns the time of a prefill of tokens uncached tokens.
func (p *PrefillPredictor) Predict(tokens int) time.Duration {
	line := p.line.Load()
	return fromMilliseconds(line.baseMs + line.perTokenMs*float64(tokens))
}

// StdDev returns the standard deviation of the prediction error.
func (p *PrefillPredictor) StdDev() time.Duration {
	return fromMilliseconds(p.line.Load().stdDevMs)
}

// Observe records a prefill of tokens uncached tokens that took the time work.
func (p *PrefillPredictor) Observe(tokens int, work time.Duration) {
	if tokens < 0 || work <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.line.Load()
	residual := milliseconds(work) - (before.baseMs + before.perTokenMs*float64(tokens))
	p.sums.Add(float64(tokens), milliseconds(work), prefillWindow)
	p.squaredError = p.squaredError*(1-1/prefillWindow) + residual*residual
	p.observations++
	if p.observations < minPrefillObservations {
		return
	}
	p.line.Store(p.fit())
}

// fit returns the fitted line. If all prompts have nearly the same length the
// slope isn't determined, and the line goes through the origin and the mean.
func (p *PrefillPredictor) fit() *prefillLine {
	line, ok := p.sums.Fit()
	if !ok {
		line = p.sums.ThroughOrigin()
	}
	return &prefillLine{baseMs: line.Base, perTokenMs: line.Slope, stdDevMs: math.Sqrt(p.squaredError / p.sums.Weight())}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
