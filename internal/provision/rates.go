package provision

import (
	"math"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Rate is smoothed demand per second.
type Rate struct {
	Granted      float64
	Refused      float64
	Absent       float64 // lookups that found no endpoint
	PromptTokens float64
	Busy         float64 // average number of slots held
}

// Row is one kind of demand and its rate.
type Row struct {
	Key  Key
	Rate Rate
}

// Limits of Rates.
const (
	maxRates = 1024 // kinds of demand in a region
	minRate  = 1e-3 // per second; rows whose rates are all lower are removed
)

// Rates computes smoothed demand from the entries' counts. It does no I/O and
// reads no clock. Not safe for concurrent use.
type Rates struct {
	timeConstant time.Duration
	last         map[fleet.InstanceID]entryCounts
	rates        map[Key]Rate
	lastPoll     time.Time
}

// entryCounts holds one entry's counts at a poll.
type entryCounts struct {
	incarnation uint64
	counts      map[Key]*pb.DemandRow
}

// NewRates returns Rates that smooth with the given time constant.
func NewRates(timeConstant time.Duration) *Rates {
	return &Rates{timeConstant: timeConstant, last: map[fleet.InstanceID]entryCounts{}, rates: map[Key]Rate{}}
}

// Add adds one poll of all the region's entries. An entry's counts before its
// first poll are ignored, since the time that they cover is unknown.
func (r *Rates) Add(now time.Time, replies []*pb.DemandReply) {
	elapsed := now.Sub(r.lastPoll).Seconds()
	first := r.lastPoll.IsZero() || elapsed <= 0
	sums := map[Key]Rate{}
	next := make(map[fleet.InstanceID]entryCounts, len(replies))
	for _, reply := range replies {
		id := fleet.InstanceID(reply.GetInstanceId())
		current := countsOf(reply)
		next[id] = current
		before, known := r.last[id]
		if !known {
			continue
		}
		if before.incarnation != current.incarnation {
			before.counts = nil // a new process counts from zero
		}
		addDifference(sums, before.counts, current.counts)
	}
	r.last, r.lastPoll = next, now
	if first {
		return
	}
	r.blend(sums, elapsed)
}

func countsOf(reply *pb.DemandReply) entryCounts {
	rows := reply.GetRows()
	l := entryCounts{incarnation: reply.GetIncarnation(), counts: make(map[Key]*pb.DemandRow, len(rows))}
	for _, row := range rows[:min(len(rows), maxRows)] {
		model, ok := ParseModel(row.GetModel())
		kind := fleet.EndpointRole(row.GetKind())
		if ok && countsDemand(kind) {
			l.counts[Key{Model: model, Kind: kind, Class: row.GetClass()}] = row
		}
	}
	return l
}

func addDifference(sums map[Key]Rate, before, now map[Key]*pb.DemandRow) {
	for k, row := range now {
		old := before[k] // a nil row counts as zero
		sum := sums[k]
		sum.Granted += increase(row.GetGranted(), old.GetGranted())
		sum.Refused += increase(row.GetRefused(), old.GetRefused())
		sum.Absent += increase(row.GetAbsent(), old.GetAbsent())
		sum.PromptTokens += increase(row.GetPromptTokens(), old.GetPromptTokens())
		sum.Busy += increase(row.GetBusyMs(), old.GetBusyMs()) / 1000
		sums[k] = sum
	}
}

func increase(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}

// blend updates the moving averages by the rates of the last elapsed seconds.
func (r *Rates) blend(sums map[Key]Rate, elapsed float64) {
	weight := 1 - math.Exp(-elapsed/max(r.timeConstant.Seconds(), 1e-3))
	for k := range sums {
		if _, known := r.rates[k]; !known && len(r.rates) < maxRates {
			r.rates[k] = Rate{}
		}
	}
	for k, old := range r.rates {
		fresh := sums[k].times(1 / elapsed)
		rate := old.times(1 - weight).plus(fresh.times(weight))
		if rate.largest() < minRate {
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

func (r Rate) largest() float64 { return max(r.Granted, r.Refused, r.Absent, r.Busy) }

// Rows returns the demand, sorted by key.
func (r *Rates) Rows() []Row {
	rows := make([]Row, 0, len(r.rates))
	for k, rate := range r.rates {
		rows = append(rows, Row{Key: k, Rate: rate})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return rows
}
