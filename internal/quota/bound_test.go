package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The rule that a quota stands for: in each window of time, what ran is within the
// limit, a tenth and a slack.
const (
	window  = 8 * time.Second
	overrun = 0.1
	slack   = 140_000
	largest = 16_000 // tokens of one request
	keepers = 8
)

// tolerance is that of the rule.
var tolerance = Tolerance{Window: window, Overrun: overrun, Slack: slack}

// ran is what a request cost that ran at a moment.
type ran struct {
	at   time.Duration
	cost float64
}

// keeperFake is a keeper with what may happen to it.
type keeperFake struct {
	ledger *Ledger
	count  int           // of keepers, as it knows
	frozen time.Duration // until when it stands still
}

// play has entries press a team's quota with all they have, while keepers die and begin
// anew, stand still, are cut off (they go on for the entries that reach them), and
// learn late how many they are; grants are lost on their way, or given back late or
// twice.
func play(random *rand.Rand, limit Limit) []ran {
	var all []*keeperFake
	for range keepers {
		all = append(all, &keeperFake{ledger: NewLedger(started.Add(-time.Hour), random.Uint64()), count: keepers})
	}
	var list []ran
	for now := time.Duration(0); now < 30*time.Second; now += time.Duration(random.IntN(8_000)) * time.Microsecond {
		k := all[random.IntN(keepers)]
		switch random.IntN(400) {
		case 0:
			k.ledger = NewLedger(at(now), random.Uint64())
		case 1:
			k.frozen = now + time.Duration(random.IntN(6_000))*time.Millisecond
		case 2:
			k.count = keepers + random.IntN(2)
		}
		if now < k.frozen {
			continue
		}
		cost := float64(200 + random.IntN(largest-200))
		taken := k.ledger.Take(at(now), "team", limit, 1/float64(k.count), cost)
		switch random.IntN(20) {
		case 0: // the answer is lost: nothing runs
		case 1: // it found no room
			back := now + time.Duration(random.IntN(2_000))*time.Millisecond
			k.ledger.Return(at(back), "team", taken.Grant)
			k.ledger.Return(at(back), "team", taken.Grant)
		default:
			if taken.Grant != 0 {
				list = append(list, ran{at: now, cost: cost})
			}
		}
	}
	return list
}

// most is the largest sum in any window.
func most(list []ran) float64 {
	best, sum, first := 0.0, 0.0, 0
	for _, r := range list {
		sum += r.cost
		for list[first].at < r.at-window {
			sum -= list[first].cost
			first++
		}
		best = max(best, sum)
	}
	return best
}

// A team sends many times its quota through entries and keepers that fail in any way.
// Nobody may use more of the fleet than the rule allows, in any window.
func TestQuotaHoldsWhateverFails(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 0))
		perSecond := 36_000 + random.Float64()*300_000
		limit := tolerance.Limit(1, perSecond, perSecond).WithReserve()
		bound := (perSecond*window.Seconds()+limit.Burst)*(1+overrun) + slack
		used := most(play(random, limit))
		assert.Assert(t, used <= bound, "seed %d: %v of %v", seed, used, bound)
	}
}

// The check above sees a keeper that begins with a full share.
func TestBoundSeesASecondBurst(t *testing.T) {
	limit := Limit{Version: 1, PerSecond: 36_000, Burst: 360_000}
	var list []ran
	for n := range 3 {
		l := NewLedger(started.Add(-time.Hour), 1)
		for range 100 {
			if l.Take(started, "team", limit, 1, 16_000).Grant != 0 {
				list = append(list, ran{at: time.Duration(n), cost: 16_000})
			}
		}
	}
	bound := (limit.PerSecond*window.Seconds()+limit.Burst)*(1+overrun) + slack
	assert.Assert(t, most(list) > bound, fmt.Sprint(most(list)))
}
