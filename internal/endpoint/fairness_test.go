package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// servedUnderLoad simulates a minute at one engine of 20 slots, 1 to 3 s per
// request: the modest team sends four requests a second, the greedy one as many
// as given. It returns how many of the modest team's requests were granted
// within their maximum wait, and how many were refused.
func servedUnderLoad(t *testing.T, greedy int, fair bool) (served, refused int) {
	c := homeOfOne(t, 20, testFaults{})
	type end struct {
		attempt string
		when    time.Time
		tokens  int
	}
	var running []end
	random := rand.New(rand.NewPCG(7, 7))
	modest := map[*queuedRequest]bool{}
	start := func(attempt string, now time.Time) {
		tokens := 50 + random.IntN(101)
		running = append(running, end{attempt, now.Add(time.Duration(tokens) * defaultTokenTime), tokens})
		slices.SortFunc(running, func(a, b end) int { return a.when.Compare(b.when) })
	}
	send := func(now time.Time, team fleet.Team, n int) {
		a := requestFor(fmt.Sprint(team, now.UnixMilli(), "-", n), now)
		a.team, a.maxWait = team, time.Second
		if !fair {
			a.team = "all"
		}
		got, queued := c.grant(now, a)
		switch {
		case queued != nil:
			modest[queued] = team == "modest"
		case got.status == statusGranted:
			start(string(a.attempt), now)
			if team == "modest" {
				served++
			}
		case team == "modest":
			refused++
		}
	}
	sequence := uint64(1)
	for now := epoch; now.Before(at(time.Minute)); now = now.Add(50 * time.Millisecond) {
		ms := int(now.Sub(epoch) / time.Millisecond)
		for len(running) > 0 && !running[0].when.After(now) {
			c.release(now, slotRelease{endpoint: "e1", key: holdKey{fleet.AttemptID(running[0].attempt), fleet.RoleDecode},
				owner: requestFor("", now).owner, reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED, outputTokens: running[0].tokens, busy: time.Duration(running[0].tokens) * defaultTokenTime})
			running = running[1:]
		}
		if ms%250 == 0 {
			send(now, "modest", 0)
		}
		for n := range greedy {
			if ms%1000 == n*1000/max(greedy, 1)/50*50 {
				send(now, "greedy", n+1)
			}
		}
		sequence++
		heartbeatTo(c, now, announcement("e1", 20), sequence)
		c.tick(now)
		for _, h := range c.endpoints["e1"].holds {
			h.expiresAt = now.Add(time.Minute) // the engine lists them
		}
		for _, a := range c.takeEffects().responses {
			if a.response.status == statusGranted {
				start(string(a.to.request.attempt), now)
			}
			if modest[a.to] && a.response.status == statusGranted {
				served++
			} else if modest[a.to] {
				refused++
			}
		}
	}
	return served, refused
}

// One team sends ten times its share of an engine's slots. The other team,
// which stays under its share, must not be refused for it.
func TestGreedyTeamCostsOthersLittle(t *testing.T) {
	alone, _ := servedUnderLoad(t, 0, true)
	withGreedy, refused := servedUnderLoad(t, 50, true)
	t.Logf("modest team: %d served alone, %d beside ten times the share (%d refused)", alone, withGreedy, refused)
	assert.Assert(t, float64(withGreedy) >= 0.95*float64(alone))
	unfair, _ := servedUnderLoad(t, 50, false)
	t.Logf("modest team: %d served without fairness", unfair)
	assert.Assert(t, float64(unfair) < 0.95*float64(alone), "the test must fail without the protection")
}

// The order of the queue follows shares in units of work; priority counts only
// within a team.
func TestFairQueueOrder(t *testing.T) {
	q := newFairQueue(16)
	push := func(team string, share, work float64, priority int, order uint64) {
		q.push(&queuedRequest{request: &slotRequest{team: fleet.Team(team), share: share, priority: priority}, arrival: order, workMs: work})
	}
	for n := range uint64(4) {
		push("heavy", 1, 100, 9, n)
		push("light", 1, 50, 0, n+10)
	}
	push("light", 1, 50, 5, 20)
	counts := map[fleet.Team]float64{}
	any := func(*queuedRequest) bool { return true }
	for range 6 {
		w := q.next(any)
		q.dispatch(w)
		counts[w.request.team] += w.workMs
	}
	assert.Equal(t, counts["heavy"], 200.0)
	assert.Equal(t, counts["light"], 200.0)
	q2 := newFairQueue(2)
	q = q2
	push("greedy", 1, 10, 0, 1)
	push("greedy", 1, 10, 0, 2)
	dropped := q.push(&queuedRequest{request: &slotRequest{team: "modest", share: 1}, arrival: 3, workMs: 10})
	assert.Equal(t, dropped.request.team, fleet.Team("greedy"))
	assert.Equal(t, dropped.arrival, uint64(2))
}

func TestAheadMatchesDispatchOrder(t *testing.T) {
	q := newFairQueue(64)
	var all []*queuedRequest
	for n := range 30 {
		w := &queuedRequest{request: &slotRequest{team: fleet.Team(fmt.Sprint(n % 3)), share: float64(1 + n%3), priority: n % 2}, arrival: uint64(n), workMs: float64(10 + n%5)}
		q.push(w)
		all = append(all, w)
	}
	want := map[*queuedRequest]int{}
	for _, w := range all {
		want[w] = q.ahead(w)
	}
	for n := range all {
		w := q.next(func(*queuedRequest) bool { return true })
		assert.Equal(t, want[w], n)
		q.dispatch(w)
	}
}
