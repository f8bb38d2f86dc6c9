package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// simTeam is a team in the simulation.
type simTeam struct {
	name     fleet.Team
	share    float64
	patience time.Duration
	perSec   float64 // offered
}

// simResult counts the requests of one team.
type simResult struct {
	offered, admitted, good int
}

// finishTimes is a heap of the times at which slots become free.
type finishTimes []time.Time

func (f finishTimes) Len() int           { return len(f) }
func (f finishTimes) Less(a, b int) bool { return f[a].Before(f[b]) }
func (f finishTimes) Swap(a, b int)      { f[a], f[b] = f[b], f[a] }
func (f *finishTimes) Push(x any)        { *f = append(*f, x.(time.Time)) }
func (f *finishTimes) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

const (
	simSlots   = 100
	simService = time.Second // mean
	simSeconds = 60
)

// simulate runs the teams' requests through simSlots slots in order of arrival.
// If admissionControl is false every request is admitted.
func simulate(teams []simTeam, admissionControl bool) map[fleet.Team]simResult {
	random := rand.New(rand.NewPCG(3, 5))
	c := New(Options{Random: random})
	slots := make(finishTimes, simSlots)
	for n := range slots {
		slots[n] = start
	}
	heap.Init(&slots)
	total := 0.0
	for _, t := range teams {
		total += t.perSec
	}
	results := map[fleet.Team]simResult{}
	end := start.Add(simSeconds * time.Second)
	for now := start; now.Before(end); {
		now = now.Add(time.Duration(random.ExpFloat64() / total * float64(time.Second)))
		t := pick(teams, random.Float64()*total)
		wait := max(0, slots[0].Sub(now))
		result := results[t.name]
		result.offered++
		r := Request{Team: t.name, Share: t.share, Patience: t.patience, PredictedWait: wait, DrainPerSec: simSlots, WorkMs: 1000}
		if !admissionControl || c.Admit(now, r).Admitted {
			result.admitted++
			if wait <= t.patience {
				result.good++
			}
			service := time.Duration((0.5 + random.Float64()) * float64(simService))
			slots[0] = now.Add(wait + service)
			heap.Fix(&slots, 0)
		}
		results[t.name] = result
	}
	return results
}

func pick(teams []simTeam, at float64) simTeam {
	for _, t := range teams {
		if at -= t.perSec; at < 0 {
			return t
		}
	}
	return teams[len(teams)-1]
}

// Ten times the capacity arrives for a minute. Without admission control the
// queue grows beyond every patience, and after the first seconds each answer is
// late. With it the engines stay busy, each admitted request is in time, and the
// others are refused.
func TestTenfoldOverloadDoesNotCollapse(t *testing.T) {
	teams := []simTeam{{"a", 1, 1600 * ms, 500}, {"b", 1, 1600 * ms, 500}}
	good := 0
	for name, r := range simulate(teams, true) {
		assert.Equal(t, r.good, r.admitted, "%s: late requests were admitted", name)
		good += r.good
	}
	assert.Assert(t, good >= simSlots*simSeconds*95/100, "%d good of %d", good, simSlots*simSeconds)

	collapsed := 0
	for _, r := range simulate(teams, false) {
		collapsed += r.good
	}
	assert.Assert(t, collapsed < simSlots*simSeconds/10, "without admission control %d are still in time", collapsed)
}

// One team sends ten times its share and another less than its own. Without fair
// shares the first fills the queue up to its patience, and the other's few
// requests are refused or late. The first must be held back while the wait is
// still within the other's patience.
func TestFloodOfOneTeamCostsAnotherLittle(t *testing.T) {
	for _, row := range []struct {
		name  string
		teams []simTeam
	}{
		{"equal patience", []simTeam{{"flood", 1, 1600 * ms, 500}, {"modest", 1, 1600 * ms, 45}}},
		{"the flood is more patient", []simTeam{{"flood", 1, 10000 * ms, 500}, {"modest", 1, 800 * ms, 45}}},
		{"three teams by weight", []simTeam{{"flood", 1, 3000 * ms, 250}, {"modest", 2, 1000 * ms, 45}, {"third", 1, 1600 * ms, 20}}},
	} {
		t.Run(row.name, func(t *testing.T) {
			results := simulate(row.teams, true)
			modest := results["modest"]
			assert.Assert(t, modest.good*100 >= modest.offered*95, "%+v", results)
			good := 0
			for _, r := range results {
				good += r.good
			}
			t.Logf("%+v, %d good of %d", results, good, simSlots*simSeconds)
			assert.Assert(t, good >= simSlots*simSeconds*90/100, "%d good of %d: %+v", good, simSlots*simSeconds, results)
		})
	}
}
