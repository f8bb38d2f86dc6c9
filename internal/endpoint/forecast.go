package endpoint

import (
	"slices"
	"time"
)

// forecast is when an endpoint's slots are predicted to be free.
type forecast struct {
	wait     time.Duration   // before anything is granted
	rest     []time.Duration // restParts possible times for each slot in use, shortest first
	used     int             // slots in use
	slots    int
	promised int // slots already given before they are free
}

// restParts is how many quantiles of a hold's remaining time a forecast uses.
const restParts = 8

// forecast pools equally likely remaining times of all holds. The n-th release
// is where n holds' worth of them lie before. Medians in their place would put
// the first release of twenty holds at the least of twenty medians, long after
// the median of the first release: half of the holds end before their medians,
// and the first to end does so far before its own.
func (r *record) forecast(now time.Time, p *Predictor) forecast {
	f := forecast{
		wait:  max(r.quiet.Sub(now), 0),
		rest:  make([]time.Duration, 0, restParts*len(r.holds)),
		slots: r.announced.Slots,
	}
	for _, h := range r.holds {
		if h.state == holdPromised {
			f.promised++
			continue
		}
		f.used++
		f.rest = p.rests(f.rest, h, now)
	}
	slices.Sort(f.rest)
	return f
}

// The parts of a hold beyond the n holds before it at which the n-th release
// is expected: half of the time before and half after, or two times in three or more often before.
const (
	middlePart = restParts / 2
	likelyPart = restParts + middlePart
)

// release predicts the time of the n-th release from now on (0: the next).
func (f forecast) release(n, part int) time.Duration {
	return f.rest[min(n*restParts+part, len(f.rest)-1)]
}

// freeIn predicts when the n-th slot from now (0: the next) is free, beyond
// those that promises wait for.
func (f forecast) freeIn(n int) time.Duration { return f.free(n, middlePart) }

// likelyFreeIn is a time by which the n-th slot is free two times in three or more often. Promises
// go by it: a KV cache whose slot comes late is thrown away.
func (f forecast) likelyFreeIn(n int) time.Duration { return f.free(n, likelyPart) }

func (f forecast) free(n, part int) time.Duration {
	at := n + f.promised - (f.slots - f.used)
	if at < 0 || f.used == 0 {
		return f.wait
	}
	rounds := time.Duration(at / f.used)
	return f.wait + f.release(at%f.used, part) + rounds*f.release(f.used-1, middlePart)
}

func (h *hold) finished() Finished {
	return Finished{Team: h.team, Model: h.model, Kind: h.key.kind}
}
