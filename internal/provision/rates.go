package provision

import (
	"math"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Rate is smoothed demand, each figure a second.
type Rate struct {
	Granted      float64
	Refused      float64
	Absent       float64 // looks that found no endpoint
	PromptTokens float64
	Busy         float64 // slots held on average
}

// Row is the demand of one kind.
type Row struct {
	Key  Key
	Rate Rate
}

// The bounds of Rates.
const (
	maxRates = 1024 // kinds of demand of a region
	leastAny = 1e-3 // a second; rows under it are forgotten
)

// Rates makes smoothed demand from the entries' counts. Pure; not safe for
// concurrent use.
type Rates struct {
	smooth time.Duration
	last   map[fleet.InstanceID]look
	rates  map[Key]Rate
	at     time.Time
}

// look is an entry's counts at a poll.
type look struct {
	incarnation uint64
	counts      map[Key]*pb.DemandRow
}

// NewRates smooths over about the time smooth.
func NewRates(smooth time.Duration) *Rates {
	return &Rates{smooth: smooth, last: map[fleet.InstanceID]look{}, rates: map[Key]Rate{}}
}

// Add takes one poll of all the region's entries. What an entry counted before
// its first poll is left out: nobody knows over what time.
func (r *Rates) Add(now time.Time, replies []*pb.DemandReply) {
	elapsed := now.Sub(r.at).Seconds()
	first := r.at.IsZero() || elapsed <= 0
	sums := map[Key]Rate{}
	next := make(map[fleet.InstanceID]look, len(replies))
	for _, reply := range replies {
		id := fleet.InstanceID(reply.GetInstanceId())
		seen := lookOf(reply)
		next[id] = seen
		before, known := r.last[id]
		if !known {
			continue
		}
		if before.incarnation != seen.incarnation {
			before.counts = nil // a new process counts from zero
		}
		addDifference(sums, before.counts, seen.counts)
	}
	r.last, r.at = next, now
	if first {
		return
	}
	r.blend(sums, elapsed)
}

func lookOf(reply *pb.DemandReply) look {
	rows := reply.GetRows()
	l := look{incarnation: reply.GetIncarnation(), counts: make(map[Key]*pb.DemandRow, len(rows))}
	for _, row := range rows[:min(len(rows), maxRows)] {
		model, ok := ParseModel(row.GetModel())
		kind := fleet.EndpointRole(row.GetKind())
		if ok && counted(kind) {
			l.counts[Key{Model: model, Kind: kind, Class: row.GetClass()}] = row
		}
	}
	return l
}

func addDifference(sums map[Key]Rate, before, now map[Key]*pb.DemandRow) {
	for k, row := range now {
		old := before[k] // nil counts nothing
		sum := sums[k]
		sum.Granted += since(row.GetGranted(), old.GetGranted())
		sum.Refused += since(row.GetRefused(), old.GetRefused())
		sum.Absent += since(row.GetAbsent(), old.GetAbsent())
		sum.PromptTokens += since(row.GetPromptTokens(), old.GetPromptTokens())
		sum.Busy += since(row.GetBusyMs(), old.GetBusyMs()) / 1000
		sums[k] = sum
	}
}

func since(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}

// blend moves the rates towards the newest by the part of smooth that passed.
func (r *Rates) blend(sums map[Key]Rate, elapsed float64) {
	weight := 1 - math.Exp(-elapsed/max(r.smooth.Seconds(), 1e-3))
	for k := range sums {
		if _, known := r.rates[k]; !known && len(r.rates) < maxRates {
			r.rates[k] = Rate{}
		}
	}
	for k, old := range r.rates {
		fresh := sums[k].times(1 / elapsed)
		rate := old.times(1 - weight).plus(fresh.times(weight))
		if rate.any() < leastAny {
			delete(r.rates, k)
			continue
		}
		r.rates[k] = rate
	}
}

func (r Rate) times(by float64) Rate {
	return Rate{r.Granted * by, r.Refused * by, r.Absent * by, r.PromptTokens * by, r.Busy * by}
}

func (r Rate) plus(o Rate) Rate {
	return Rate{r.Granted + o.Granted, r.Refused + o.Refused, r.Absent + o.Absent, r.PromptTokens + o.PromptTokens, r.Busy + o.Busy}
}

func (r Rate) any() float64 { return max(r.Granted, r.Refused, r.Absent, r.Busy) }

// Rows lists the demand, sorted by key.
func (r *Rates) Rows() []Row {
	rows := make([]Row, 0, len(r.rates))
	for k, rate := range r.rates {
		rows = append(rows, Row{Key: k, Rate: rate})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}
