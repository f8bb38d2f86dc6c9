package standin

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var (
	errCancelled    = errors.New("attempt cancelled")
	errProcessEnded = errors.New("process ended")
)

// heldRequest is one request that occupies the engine's memory. Standin.mu guards it.
type heldRequest struct {
	attempt   fleet.AttemptID
	owner     fleet.Owner
	stage     engineapi.Stage
	priority  int
	startedAt time.Time
	arrival   uint64
	kvBytes   int64
	record    *AttemptRecord

	ctx    context.Context // ends when the request is freed
	cancel context.CancelCauseFunc

	// Stages prefill and exported.
	handle           string
	promptTokens     int
	cachedTokens     int
	work             time.Duration // total prefill work
	workLeft         time.Duration // prefill work still to do
	ready            chan struct{} // closed when the prefill work is done
	expires          time.Time
	runningTransfers int

	// Stages imported and decode.
	kvArrived   bool // the KV cache has been received
	seed        uint64
	produced    int // output tokens so far, including those before the offset
	totalTokens int
	truncated   bool // the request's token limit ends the output
	progressed  chan struct{}
}

// signalProgress notifies the stream that produced has increased.
func (h *heldRequest) signalProgress() {
	select {
	case h.progressed <- struct{}{}:
	default:
	}
}

func (h *heldRequest) held(now time.Time) engineapi.Held {
	return engineapi.Held{
		Attempt: h.attempt,
		Owner:   h.owner,
		Stage:   h.stage,
		AgeMs:   now.Sub(h.startedAt).Milliseconds(),
		KVBytes: h.kvBytes,
	}
}
