package endpoint

import (
	"slices"
	"time"
)

// forecast is when an endpoint's slots are predicted to be free.
type forecast struct {
	wait     time.Duration   // before anything is granted
	rest     []time.Duration // of each slot in use, shortest first
	slots    int
	promised int // slots already given before they are free
}

func (r *record) forecast(now time.Time, p *Predictor) forecast {
	f := forecast{
		wait:     max(r.quiet.Sub(now), 0),
		rest:     make([]time.Duration, 0, len(r.holds)),
		slots:    r.announced.Slots,
		promised: 0,
	}
	for _, h := range r.holds {
		if h.state == holdPromised {
			f.promised++
			continue
		}
		rest := p.Remaining(h.finished(), h.expected, now.Sub(h.granted), medianQuantile)
		f.rest = append(f.rest, max(rest, time.Millisecond))
	}
	slices.Sort(f.rest)
	return f
}

// freeIn predicts when the n-th slot from now (0: the next) is free, beyond
// those that promises wait for.
func (f forecast) freeIn(n int) time.Duration {
	at := n + f.promised - (f.slots - len(f.rest))
	if at < 0 || len(f.rest) == 0 {
		return f.wait
	}
	longest := f.rest[len(f.rest)-1]
	rounds := time.Duration(at / len(f.rest))
	return f.wait + f.rest[at%len(f.rest)] + rounds*longest
}

func (h *hold) finished() Finished {
	return Finished{Team: h.team, Model: h.model, Kind: h.key.kind}
}
