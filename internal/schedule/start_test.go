package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPredictedRoom(t *testing.T) {
	typical := StartInput{PrefillTime: 200 * ms, TransferTime: 20 * ms, KVLife: 800 * ms, WasteWeight: 0.5, PredictionStdDev: 50 * ms}
	plan := predictedRoom{}.Plan(typical)
	assert.Assert(t, plan.ReserveFirst)
	assert.Assert(t, plan.LeadTime > typical.PrefillTime, "the slot would idle: lead %v", plan.LeadTime)
	assert.Assert(t, plan.LeadTime < typical.PrefillTime+typical.KVLife-typical.TransferTime)

	careful, eager := typical, typical
	careful.WasteWeight, eager.WasteWeight = 1, 0
	assert.Assert(t, predictedRoom{}.Plan(careful).LeadTime < predictedRoom{}.Plan(eager).LeadTime)

	unsure := typical
	unsure.PredictionStdDev = 2000 * ms
	assert.Equal(t, predictedRoom{}.Plan(unsure).LeadTime, 0*ms)

	stalled := careful
	stalled.TransferTime = 900 * ms
	assert.Assert(t, predictedRoom{}.Plan(stalled).LeadTime < stalled.PrefillTime)
}

// A team that weighs only waste must not lose a prefill because the slot became
// free late by twice the prediction's standard deviation: the KV cache would
// expire before that and the prefill work would be wasted.
func TestKVCacheOutlivesALateSlot(t *testing.T) {
	for _, spread := range []time.Duration{10 * ms, 50 * ms, 100 * ms, 200 * ms, 300 * ms, 900 * ms} {
		in := StartInput{PrefillTime: 200 * ms, TransferTime: 50 * ms, KVLife: 800 * ms, WasteWeight: 1, PredictionStdDev: spread}
		lead := predictedRoom{}.Plan(in).LeadTime
		if lead == 0 {
			continue // held before the prefill: the slot can't be late
		}
		wait := lead - in.PrefillTime + 2*spread + in.TransferTime
		assert.Assert(t, wait <= in.KVLife, "spread %v: KV cache waits %v", spread, wait)
	}
}

func TestBaselines(t *testing.T) {
	in := StartInput{DecodeReadyIn: 300 * ms, PrefillTime: 200 * ms, KVLife: 800 * ms}
	assert.Equal(t, prefillFirst{}.Plan(in), StartPlan{})
	assert.Equal(t, reserveFirst{}.Plan(in), StartPlan{ReserveFirst: true})
}
