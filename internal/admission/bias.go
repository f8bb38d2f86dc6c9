package admission

import (
	"math"
	"time"
)

// Parameters of the correction of predicted waits.
const (
	biasWindow       = 32.0             // approximate number of waits in the moving averages
	biasMarginErrors = 0.5              // mean absolute errors added as a margin
	maxBiasFraction  = 0.5              // maximum correction as a fraction of the patience
	biasDecayTime    = 10 * time.Second // the correction decays by a factor of e in this time
)

// bias is how far one team's waits exceed their predictions. Predictions are
// made from reports that are some hundred milliseconds old, and for the best
// candidate, which a request doesn't always get. Without the correction,
// requests would be admitted that can't meet their target and are answered late.
type bias struct {
	meanMs     float64
	absErrorMs float64 // mean absolute error around meanMs
	updatedAt  time.Time
}

// observe records the actual wait of an admitted request.
func (b *bias) observe(now time.Time, predicted, waited time.Duration) {
	errorMs := float64(waited-predicted) / float64(time.Millisecond)
	b.absErrorMs += (math.Abs(errorMs-b.meanMs) - b.absErrorMs) / biasWindow
	b.meanMs += (errorMs - b.meanMs) / biasWindow
	b.updatedAt = now
}

// correction returns the time to add to a prediction. It is bounded and decays:
// otherwise a period of bad predictions could refuse every request, and without
// admitted requests the bias could never be corrected.
func (b *bias) correction(now time.Time, patience time.Duration) time.Duration {
	if b.updatedAt.IsZero() {
		return 0
	}
	decay := math.Exp(-float64(now.Sub(b.updatedAt)) / float64(biasDecayTime))
	ms := (b.meanMs + biasMarginErrors*b.absErrorMs) * decay
	maxMs := maxBiasFraction * float64(patience) / float64(time.Millisecond)
	return time.Duration(min(max(ms, 0), maxMs) * float64(time.Millisecond))
}
