package endpoint

import (
	"slices"
	"time"
)

// forecast predicts when an endpoint's slots are free.
type forecast struct {
	grantDelay time.Duration   // until the home may grant
	remaining  []time.Duration // remainingQuantiles possible times for each slot in use, sorted
	used       int             // slots in use
	slots      int
	pending    int // slots granted before they are free
}

// remainingQuantiles is how many quantiles of a hold's remaining time a
// forecast uses.
const remainingQuantiles = 8

// forecast pools equally likely remaining times of all holds. The n-th release
// is predicted at the point that has n holds' worth of them before it. The
// smallest of the holds' medians would be far too late for the first release:
// half of the holds end before their medians, and of twenty holds the first to
// end does so long before its own.
func (r *record) forecast(now time.Time, p *Predictor) forecast {
	f := forecast{
		grantDelay: max(r.noGrantsBefore.Sub(now), 0),
		remaining:  make([]time.Duration, 0, remainingQuantiles*len(r.holds)),
		slots:      r.announced.Slots,
	}
	for _, h := range r.holds {
		if h.state == holdPending {
			f.pending++
			continue
		}
		f.used++
		f.remaining = p.appendRemaining(f.remaining, h, now)
	}
	slices.Sort(f.remaining)
	return f
}

// The quantiles beyond the n holds before it at which the n-th release is
// predicted: medianPart for a time before and after which it is equally likely,
// likelyPart for a time by which it has happened in at least two of three
// cases.
const (
	medianPart = remainingQuantiles / 2
	likelyPart = remainingQuantiles + medianPart
)

// release predicts the time of the n-th release from now (0: the next).
func (f forecast) release(n, part int) time.Duration {
	return f.remaining[min(n*remainingQuantiles+part, len(f.remaining)-1)]
}

// freeIn predicts when the n-th slot from now (0: the next) is free, not
// counting those that pending holds wait for.
func (f forecast) freeIn(n int) time.Duration { return f.free(n, medianPart) }

// likelyFreeIn returns a time by which the n-th slot is free in at least two of
// three cases. Pending holds rely on it: a KV cache whose decode slot is late
// is discarded.
func (f forecast) likelyFreeIn(n int) time.Duration { return f.free(n, likelyPart) }

func (f forecast) free(n, part int) time.Duration {
	at := n + f.pending - (f.slots - f.used)
	if at < 0 || f.used == 0 {
		return f.grantDelay
	}
	rounds := time.Duration(at / f.used)
	return f.grantDelay + f.release(at%f.used, part) + rounds*f.release(f.used-1, medianPart)
}

func (h *hold) finished() FinishedWork {
	return FinishedWork{Team: h.team, Model: h.model, Kind: h.key.kind}
}
