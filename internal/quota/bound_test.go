package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The guarantee of a quota: in each window of time, the cost of what ran is within the limit
// plus a tenth plus a slack.
const (
	window           = 8 * time.Second
	overrun          = 0.1
	slack            = 140_000
	maxRequestTokens = 16_000 // tokens of one request
	servers          = 8
)

// tolerance is the tolerance of the guarantee.
var tolerance = Tolerance{Window: window, Overrun: overrun, Slack: slack}

// usage is the cost of a request that ran, with its time.
type usage struct {
	at   time.Duration
	cost float64
}

// simServer is a simulated quota server and its faults.
type simServer struct {
	ledger      *Ledger
	count       int // number of quota servers, as it knows it
	frozenUntil time.Duration
}

// simulate lets entries send as much of a team's requests as they can, while quota servers die
// and restart, freeze, lose contact with some entries (and serve the others), and learn late
// how many they are; grants are lost on their way, or returned late or twice.
func simulate(random *rand.Rand, limit Limit) []usage {
	var all []*simServer
	for range servers {
		all = append(all, &simServer{ledger: NewLedger(started.Add(-time.Hour), random.Uint64()), count: servers})
	}
	var used []usage
	for now := time.Duration(0); now < 30*time.Second; now += time.Duration(random.IntN(8_000)) * time.Microsecond {
		server := all[random.IntN(servers)]
		switch random.IntN(400) {
		case 0:
			server.ledger = NewLedger(at(now), random.Uint64())
		case 1:
			server.frozenUntil = now + time.Duration(random.IntN(6_000))*time.Millisecond
		case 2:
			server.count = servers + random.IntN(2)
		}
		if now < server.frozenUntil {
			continue
		}
		cost := float64(200 + random.IntN(maxRequestTokens-200))
		taken := server.ledger.Take(at(now), "team", limit, 1/float64(server.count), cost)
		switch random.IntN(20) {
		case 0: // the reply is lost: nothing runs
		case 1: // the request found no capacity
			back := now + time.Duration(random.IntN(2_000))*time.Millisecond
			server.ledger.Return(at(back), "team", taken.Grant)
			server.ledger.Return(at(back), "team", taken.Grant)
		default:
			if taken.Grant != 0 {
				used = append(used, usage{at: now, cost: cost})
			}
		}
	}
	return used
}

// maxInWindow returns the largest total cost in any window.
func maxInWindow(used []usage) float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, r := range used {
		sum += r.cost
		for used[first].at < r.at-window {
			sum -= used[first].cost
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

// A team sends many times its quota through entries and quota servers that fail in any way. It
// may use no more of the fleet than the guarantee allows, in any window.
func TestQuotaHoldsWhateverFails(t *testing.T) {
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 0))
		perSecond := 36_000 + random.Float64()*300_000
		limit := tolerance.Limit(1, perSecond, perSecond).WithReserve()
		bound := (perSecond*window.Seconds()+limit.Burst)*(1+overrun) + slack
		used := maxInWindow(simulate(random, limit))
		assert.Assert(t, used <= bound, "seed %d: %v of %v", seed, used, bound)
	}
}

// Shows that the check above detects a quota server that starts with a full share.
func TestBoundDetectsASecondBurst(t *testing.T) {
	limit := Limit{Version: 1, PerSecond: 36_000, Burst: 360_000}
	var used []usage
	for n := range 3 {
		l := NewLedger(started.Add(-time.Hour), 1)
		for range 100 {
			if l.Take(started, "team", limit, 1, 16_000).Grant != 0 {
				used = append(used, usage{at: time.Duration(n), cost: 16_000})
			}
		}
	}
	bound := (limit.PerSecond*window.Seconds()+limit.Burst)*(1+overrun) + slack
	assert.Assert(t, maxInWindow(used) > bound, fmt.Sprint(maxInWindow(used)))
}
