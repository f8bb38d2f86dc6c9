package standin

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

const (
	mostLoads  = 512
	loadPeriod = 20 * time.Millisecond // between two samples kept
)

type loadSample struct {
	at   time.Time
	load engineapi.Load
}

// loadHistory keeps samples so that load can be reported late.
type loadHistory struct {
	samples []loadSample
}

func (h *loadHistory) add(now time.Time, l engineapi.Load) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < loadPeriod {
		return
	}
	if len(h.samples) >= mostLoads {
		h.samples = append(h.samples[:0], h.samples[mostLoads/2:]...)
	}
	h.samples = append(h.samples, loadSample{at: now, load: l})
}

// report gives the newest sample that is at least lag old; without one, an idle
// engine's load.
func (h *loadHistory) report(now time.Time, lag time.Duration) engineapi.Load {
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
