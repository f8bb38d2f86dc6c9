package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
)

// waitEstimate is what a new request can expect from the candidates.
type waitEstimate struct {
	prefill     time.Duration // shortest prefill queue
	decode      time.Duration // shortest wait for a decode slot
	queued      int           // requests waiting for decode slots
	drainPerSec float64       // decode slots that become free per second; 0: not known
	tokenTime   time.Duration // mean time between tokens
}

// timeToFirstToken predicts the time to the first token. The wait for the decode slot
// overlaps with prefill and transfer.
func (w waitEstimate) timeToFirstToken(prefill, transfer time.Duration) time.Duration {
	return max(w.prefill+prefill+transfer, w.decode) + w.tokenTime
}

// predictWaits sums up the candidates for a request with the given number of output
// tokens. Pure.
func predictWaits(prefill, decode []endpoint.Candidate, outputTokens int) waitEstimate {
	var w waitEstimate
	for n, c := range prefill {
		if n == 0 || c.QueuedWork < w.prefill {
			w.prefill = c.QueuedWork
		}
	}
	var sum time.Duration
	for n, c := range decode {
		if n == 0 || c.SlotWait < w.decode {
			w.decode = c.SlotWait
		}
		w.queued += c.Queued
		sum += c.TokenTime
		if c.TokenTime > 0 && outputTokens > 0 {
			w.drainPerSec += float64(c.Slots) / (c.TokenTime.Seconds() * float64(outputTokens))
		}
	}
	if len(decode) > 0 {
		w.tokenTime = sum / time.Duration(len(decode))
	}
	return w
}
