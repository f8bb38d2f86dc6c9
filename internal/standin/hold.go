package standin

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var (
	errCancelled = errors.New("attempt cancelled")
	errGone      = errors.New("process ended")
)

// hold is one request in the engine's memory. Standin.mu guards it.
type hold struct {
	attempt  fleet.AttemptID
	owner    fleet.Owner
	stage    engineapi.Stage
	priority int
	since    time.Time
	arrival  uint64
	kv       int64
	fact     *Fact

	ctx    context.Context // ends when the hold is freed
	cancel context.CancelCauseFunc

	// prefill and exported
	handle       string
	promptTokens int
	cachedTokens int
	work         time.Duration // prefill work, whole
	left         time.Duration // prefill work not done
	ready        chan struct{} // closed when the prefill work is done
	expires      time.Time
	transfers    int // running now

	// imported and decode
	arrived  bool // the KV cache is here
	seed     uint64
	produced int // output tokens so far, those before an offset included
	total    int
	cut      bool // total is the request's bound
	progress chan struct{}
}

// advanced tells the stream that produced has grown.
func (h *hold) advanced() {
	select {
	case h.progress <- struct{}{}:
	default:
	}
}

func (h *hold) held(now time.Time) engineapi.Held {
	return engineapi.Held{
		Attempt: h.attempt,
		Owner:   h.owner,
		Stage:   h.stage,
		AgeMs:   now.Sub(h.since).Milliseconds(),
		KVBytes: h.kv,
	}
}
