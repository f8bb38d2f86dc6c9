package schedule

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/leastsquares"
)

// The line that PrefillPredictor starts from, before anything is observed.
const (
	initialPrefillBase     = 5 * time.Millisecond
	initialPrefillPerToken = 100 * time.Microsecond
	prefillMemory          = 200.0 // observations that weigh in the fit, about
	prefillEnough          = 8     // observations before the fit replaces the start
)

// PrefillPredictor learns a prefill's time as a line over the tokens not found
// in the cache: least squares with old observations forgotten. Safe for
// concurrent use; Predict takes no lock.
type PrefillPredictor struct {
	mu   sync.Mutex
	sums leastsquares.Sums
	// residue is the decayed sum of squared errors, weighted like sums.
	residue float64
	seen    int
	line    atomic.Pointer[prefillLine]
}

type prefillLine struct {
	base     float64 // ms
	perToken float64 // ms
	spread   float64 // ms, standard deviation of the residue
}

// NewPrefillPredictor makes one that knows only the initial line.
func NewPrefillPredictor() *PrefillPredictor {
	p := &PrefillPredictor{}
	p.line.Store(&prefillLine{
		base:     milliseconds(initialPrefillBase),
		perToken: milliseconds(initialPrefillPerToken),
	})
	return p
}

// Predict gives the time of a prefill of so many uncached tokens.
func (p *PrefillPredictor) Predict(tokens int) time.Duration {
	line := p.line.Load()
	return fromMilliseconds(line.base + line.perToken*float64(tokens))
}

// Spread gives the standard deviation of the prediction's error.
func (p *PrefillPredictor) Spread() time.Duration {
	return fromMilliseconds(p.line.Load().spread)
}

// Observe learns from a prefill of so many uncached tokens that took work.
func (p *PrefillPredictor) Observe(tokens int, work time.Duration) {
	if tokens < 0 || work <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.line.Load()
	residue := milliseconds(work) - (before.base + before.perToken*float64(tokens))
	p.sums.Add(float64(tokens), milliseconds(work), prefillMemory)
	p.residue = p.residue*(1-1/prefillMemory) + residue*residue
	p.seen++
	if p.seen < prefillEnough {
		return
	}
	p.line.Store(p.fit())
}

// fit gives the line. Where all prompts have about one length the slope isn't
// determined, and the line goes through the origin and the mean.
func (p *PrefillPredictor) fit() *prefillLine {
	line, ok := p.sums.Line()
	if !ok {
		line = p.sums.ThroughOrigin()
	}
	return &prefillLine{base: line.Base, perToken: line.Slope, spread: math.Sqrt(p.residue / p.sums.Weight())}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
