package standin

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

const (
	maxLoadSamples     = 512
	loadSampleInterval = 20 * time.Millisecond // minimum time between two samples
)

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// loadHistory keeps samples of the load, so that it can be reported with a delay.
type loadHistory struct {
	samples []loadSample
}

func (h *loadHistory) add(now time.Time, l engineapi.Load) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < loadSampleInterval {
		return
	}
	if len(h.samples) >= maxLoadSamples {
		h.samples = append(h.samples[:0], h.samples[maxLoadSamples/2:]...)
	}
	h.samples = append(h.samples, loadSample{at: now, load: l})
}

// latestBefore returns the newest sample that is at least lag old; if there is none,
// the load of an idle engine.
func (h *loadHistory) latestBefore(now time.Time, lag time.Duration) engineapi.Load {
	for n := len(h.samples) - 1; n >= 0; n-- {
		age := now.Sub(h.samples[n].at)
		if age < lag {
			continue
		}
		l := h.samples[n].load
		l.AgeMs = age.Milliseconds()
		return l
	}
	return engineapi.Load{AgeMs: lag.Milliseconds()}
}
