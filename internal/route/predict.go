package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
)

// waits is what the candidates promise to a new request.
type waits struct {
	prefill     time.Duration // shortest prefill queue
	decode      time.Duration // shortest wait for a decode slot
	queued      int           // requests waiting for decode slots
	drainPerSec float64       // decode slots that come free a second; 0: not known
	tokenTime   time.Duration // mean time between tokens
}

// firstToken predicts the time until the first token: the decode slot may
// come free while prefill runs.
func (w waits) firstToken(prefill, transfer time.Duration) time.Duration {
	return max(w.prefill+prefill+transfer, w.decode) + w.tokenTime
}

// predictWaits sums up the candidates for a request of output tokens. Pure.
func predictWaits(prefill, decode []endpoint.Candidate, output int) waits {
	var w waits
	for n, c := range prefill {
		if n == 0 || c.QueuedWork < w.prefill {
			w.prefill = c.QueuedWork
		}
	}
	var sum time.Duration
	for n, c := range decode {
		if n == 0 || c.NextFree < w.decode {
			w.decode = c.NextFree
		}
		w.queued += c.Queued
		sum += c.TokenTime
		if c.TokenTime > 0 && output > 0 {
			w.drainPerSec += float64(c.Slots) / (c.TokenTime.Seconds() * float64(output))
		}
	}
	if len(decode) > 0 {
		w.tokenTime = sum / time.Duration(len(decode))
	}
	return w
}
