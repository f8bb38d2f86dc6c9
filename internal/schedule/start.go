package schedule

import "time"

// predictedRoom takes the decode slot before the prefill, but so early that
// the slot is still busy and comes free about when the KV cache arrives. Lead
// is how early: the prefill's own time, plus earliness so that the slot doesn't
// stand idle when it comes free before its prediction. Earliness is bounded by
// the KV cache's life less a margin for a slot that comes free late. A team
// that weighs waste takes the wider margin, one that weighs goodput the more
// earliness. When the predictor is so unsure that the margin eats the life,
// Lead shrinks toward zero: the slot is held before prefill starts.
type predictedRoom struct{}

// The margins at weight 0 and 1, in standard deviations of the predictor.
const (
	idleMarginGoodput = 2.0 // earliness when goodput alone counts
	idleMarginWaste   = 0.5
	lateMarginGoodput = 1.3 // about one prefill in ten late, were errors normal
	lateMarginWaste   = 2.6 // about one in two hundred
)

// Plan implements Start.
func (predictedRoom) Plan(in StartInput) StartPlan {
	weight := min(max(in.WasteWeight, 0), 1)
	earliness := scaled(in.Spread, idleMarginGoodput, idleMarginWaste, weight)
	latest := in.KVLife - in.TransferTime - scaled(in.Spread, lateMarginGoodput, lateMarginWaste, weight)
	lead := in.PrefillTime + min(earliness, latest)
	return StartPlan{ReserveFirst: true, Lead: max(0, lead)}
}

func scaled(spread time.Duration, goodput, waste, weight float64) time.Duration {
	margin := goodput + (waste-goodput)*weight
	return time.Duration(margin * float64(spread))
}

// prefillFirst starts at once and looks for a decode slot afterwards. It is a
// baseline to measure against.
type prefillFirst struct{}

// Plan implements Start.
func (prefillFirst) Plan(StartInput) StartPlan { return StartPlan{} }

// reserveFirst holds a free decode slot before the prefill starts. It is a
// baseline to measure against: nothing is wasted and slots stand idle.
type reserveFirst struct{}

// Plan implements Start.
func (reserveFirst) Plan(StartInput) StartPlan { return StartPlan{ReserveFirst: true} }
