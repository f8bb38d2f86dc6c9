package schedule

import "time"

// predictedRoom requests the decode slot before the prefill, early enough that
// the slot, still busy then, becomes free about when the KV cache arrives. LeadTime
// is the prefill time plus an earliness, so that the slot doesn't idle if it
// becomes free before its predicted time. The earliness is at most the KV
// cache's lifetime less a margin for a slot that becomes free late. A team that
// weighs waste gets a larger late margin, one that weighs goodput more
// earliness. If the prediction is so uncertain that the margin uses up the
// lifetime, LeadTime shrinks to zero: the slot is held before the prefill starts.
type predictedRoom struct{}

// Margins at waste weight 0 (goodput) and 1 (waste), in standard deviations of
// the prediction error.
const (
	idleMarginGoodput = 2.0 // earliness
	idleMarginWaste   = 0.5
	lateMarginGoodput = 1.3 // about one prefill in ten late if errors are normal
	lateMarginWaste   = 2.6 // about one in two hundred
)

// Plan implements StartPolicy.
func (predictedRoom) Plan(in StartInput) StartPlan {
	weight := min(max(in.WasteWeight, 0), 1)
	earliness := interpolatedMargin(in.PredictionStdDev, idleMarginGoodput, idleMarginWaste, weight)
	latest := in.KVLife - in.TransferTime - interpolatedMargin(in.PredictionStdDev, lateMarginGoodput, lateMarginWaste, weight)
	lead := in.PrefillTime + min(earliness, latest)
	return StartPlan{ReserveFirst: true, LeadTime: max(0, lead)}
}

// interpolatedMargin interpolates between the margins goodput (weight 0) and
// waste (weight 1) and converts the result from standard deviations to time.
func interpolatedMargin(spread time.Duration, goodput, waste, weight float64) time.Duration {
	margin := goodput + (waste-goodput)*weight
	return time.Duration(margin * float64(spread))
}

// prefillFirst starts the prefill at once and chooses a decode slot afterwards.
// It is a baseline for comparison.
type prefillFirst struct{}

// Plan implements StartPolicy.
func (prefillFirst) Plan(StartInput) StartPlan { return StartPlan{} }

// reserveFirst holds a free decode slot before the prefill starts. It is a
// baseline for comparison: no prefill is wasted, but slots idle.
type reserveFirst struct{}

// Plan implements StartPolicy.
func (reserveFirst) Plan(StartInput) StartPlan { return StartPlan{ReserveFirst: true} }
