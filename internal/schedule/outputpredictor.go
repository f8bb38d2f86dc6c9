package schedule

import (
	"container/list"
	"math"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// OutputKey names a stream of requests whose outputs are alike in length.
type OutputKey struct {
	Team  fleet.Team
	Model string
}

// The bounds of OutputPredictor.
const (
	maxOutputKeys     = 4096
	outputBuckets     = 64
	bucketsPerOctave  = 4
	outputMemory      = 500.0 // observations that weigh, about
	outputUnknown     = 128   // tokens, for a key never seen
	outputQuantileMin = 0.01
)

// OutputPredictor learns quantiles of output lengths by team and model. It
// keeps the maxOutputKeys keys used last. Safe for concurrent use.
type OutputPredictor struct {
	mu     sync.Mutex
	byKey  map[OutputKey]*list.Element
	recent *list.List // of *outputLengths, used last first
}

type outputLengths struct {
	key    OutputKey
	counts [outputBuckets]float64
	total  float64
}

// NewOutputPredictor makes one that has seen nothing.
func NewOutputPredictor() *OutputPredictor {
	return &OutputPredictor{byKey: map[OutputKey]*list.Element{}, recent: list.New()}
}

// Observe learns from a finished answer of so many tokens.
func (p *OutputPredictor) Observe(key OutputKey, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lengths := p.touch(key)
	lengths.add(bucketOf(tokens))
}

// Quantile gives the length that a share q of answers doesn't exceed, at most
// limit when limit is above 0.
func (p *OutputPredictor) Quantile(key OutputKey, q float64, limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens := outputUnknown
	if at, ok := p.byKey[key]; ok {
		tokens = at.Value.(*outputLengths).quantile(q)
	}
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}

func (p *OutputPredictor) touch(key OutputKey) *outputLengths {
	if at, ok := p.byKey[key]; ok {
		p.recent.MoveToFront(at)
		return at.Value.(*outputLengths)
	}
	if p.recent.Len() >= maxOutputKeys {
		oldest := p.recent.Back()
		delete(p.byKey, oldest.Value.(*outputLengths).key)
		p.recent.Remove(oldest)
	}
	lengths := &outputLengths{key: key}
	p.byKey[key] = p.recent.PushFront(lengths)
	return lengths
}

func (l *outputLengths) add(bucket int) {
	if l.total >= outputMemory {
		l.halve()
	}
	l.counts[bucket]++
	l.total++
}

func (l *outputLengths) halve() {
	for n := range l.counts {
		l.counts[n] /= 2
	}
	l.total /= 2
}

func (l *outputLengths) quantile(q float64) int {
	rest := max(q, outputQuantileMin) * l.total
	for n, count := range l.counts {
		rest -= count
		if rest <= 0 {
			return bucketTop(n)
		}
	}
	return bucketTop(outputBuckets - 1)
}

func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	bucket := int(math.Ceil(math.Log2(float64(tokens)) * bucketsPerOctave))
	return min(bucket, outputBuckets-1)
}

func bucketTop(bucket int) int {
	return int(math.Ceil(math.Exp2(float64(bucket) / bucketsPerOctave)))
}
