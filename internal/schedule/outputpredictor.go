package schedule

import (
	"container/list"
	"math"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// OutputKey identifies a stream of requests whose outputs have similar lengths.
type OutputKey struct {
	Team  fleet.Team
	Model string
}

// Parameters of OutputPredictor.
const (
	maxOutputKeys       = 4096
	outputBuckets       = 64
	bucketsPerOctave    = 4
	maxOutputWeight     = 500.0 // weight of a histogram at which its counts are halved
	defaultOutputTokens = 128   // prediction in tokens for a key without observations
	minOutputQuantile   = 0.01
)

// OutputPredictor learns quantiles of output lengths by team and model. It
// keeps the maxOutputKeys most recently observed keys. Safe for concurrent use.
type OutputPredictor struct {
	mu     sync.Mutex
	byKey  map[OutputKey]*list.Element
	recent *list.List // of *lengthHistogram, most recently observed first
}

type lengthHistogram struct {
	key    OutputKey
	counts [outputBuckets]float64
	total  float64
}

// NewOutputPredictor returns a predictor without observations.
func NewOutputPredictor() *OutputPredictor {
	return &OutputPredictor{byKey: map[OutputKey]*list.Element{}, recent: list.New()}
}

// Observe records the length in tokens of a finished output.
func (p *OutputPredictor) Observe(key OutputKey, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.histogram(key)
	h.add(bucketOf(tokens))
}

// Quantile returns the length in tokens that a fraction q of outputs doesn't
// exceed, capped at limit if limit is above 0.
func (p *OutputPredictor) Quantile(key OutputKey, q float64, limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens := defaultOutputTokens
	if at, ok := p.byKey[key]; ok {
		tokens = at.Value.(*lengthHistogram).quantile(q)
	}
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}

func (p *OutputPredictor) histogram(key OutputKey) *lengthHistogram {
	if at, ok := p.byKey[key]; ok {
		p.recent.MoveToFront(at)
		return at.Value.(*lengthHistogram)
	}
	if p.recent.Len() >= maxOutputKeys {
		oldest := p.recent.Back()
		delete(p.byKey, oldest.Value.(*lengthHistogram).key)
		p.recent.Remove(oldest)
	}
	h := &lengthHistogram{key: key}
	p.byKey[key] = p.recent.PushFront(h)
	return h
}

func (l *lengthHistogram) add(bucket int) {
	if l.total >= maxOutputWeight {
		l.halve()
	}
	l.counts[bucket]++
	l.total++
}

func (l *lengthHistogram) halve() {
	for n := range l.counts {
		l.counts[n] /= 2
	}
	l.total /= 2
}

func (l *lengthHistogram) quantile(q float64) int {
	remaining := max(q, minOutputQuantile) * l.total
	for n, count := range l.counts {
		remaining -= count
		if remaining <= 0 {
			return bucketUpperBound(n)
		}
	}
	return bucketUpperBound(outputBuckets - 1)
}

func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	bucket := int(math.Ceil(math.Log2(float64(tokens)) * bucketsPerOctave))
	return min(bucket, outputBuckets-1)
}

func bucketUpperBound(bucket int) int {
	return int(math.Ceil(math.Exp2(float64(bucket) / bucketsPerOctave)))
}
