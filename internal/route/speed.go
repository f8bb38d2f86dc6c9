package route

import (
	"sync"
	"time"
)

// speeds learns how fast prefill engines work and how far that varies.
type speeds struct {
	mu       sync.Mutex
	perToken float64 // prefill, ms a token not cached; 0: nothing seen
	spread   float64 // mean absolute error of the prediction, ms
}

const (
	// firstGuess is used until an engine has answered, ms a token.
	firstGuess = 0.25
	// learnRate is the weight of the newest sample.
	learnRate = 0.1
)

func newSpeeds() *speeds { return &speeds{perToken: firstGuess} }

// prefill predicts the engine time of tokens not cached, and its spread.
func (s *speeds) prefill(tokens int) (expected, spread time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return millis(s.perToken * float64(tokens)), millis(s.spread)
}

// sawPrefill learns from one answer: uncached tokens and engine ms.
func (s *speeds) sawPrefill(tokens int, workMs float64) {
	if tokens <= 0 || workMs <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	missed := workMs - s.perToken*float64(tokens)
	if missed < 0 {
		missed = -missed
	}
	s.spread += learnRate * (missed - s.spread)
	s.perToken += learnRate * (workMs/float64(tokens) - s.perToken)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
