package admission

import (
	"math"
	"time"
)

// The learning of how far predicted waits fall short.
const (
	biasMemory    = 32.0             // waits that weigh, about
	biasSpread    = 0.5              // mean errors that are added as a margin
	biasMostShare = 0.5              // of the patience, at most so much is added
	biasLife      = 10 * time.Second // a lesson fades by e in this time
)

// bias is what one team's waits exceed their predictions by. Predictions are
// made from reports that are some hundred milliseconds old and from the best
// candidate, which isn't always the one that is got; without the correction
// requests are admitted that can't meet their target, and show as late answers.
type bias struct {
	mean    float64 // ms
	spread  float64 // ms, mean absolute error around mean
	learned time.Time
}

// learn takes one wait of an admitted request.
func (b *bias) learn(now time.Time, predicted, waited time.Duration) {
	missed := float64(waited-predicted) / float64(time.Millisecond)
	b.spread += (math.Abs(missed-b.mean) - b.spread) / biasMemory
	b.mean += (missed - b.mean) / biasMemory
	b.learned = now
}

// correction gives what to add to a prediction. It is bounded and fades: were
// it not, a time of bad predictions could refuse everyone, so that nothing
// admitted could ever teach better.
func (b *bias) correction(now time.Time, patience time.Duration) time.Duration {
	if b.learned.IsZero() {
		return 0
	}
	fade := math.Exp(-float64(now.Sub(b.learned)) / float64(biasLife))
	ms := (b.mean + biasSpread*b.spread) * fade
	most := biasMostShare * float64(patience) / float64(time.Millisecond)
	return time.Duration(min(max(ms, 0), most) * float64(time.Millisecond))
}
