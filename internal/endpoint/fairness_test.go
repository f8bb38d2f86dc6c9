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

// load plays a minute at one engine of 20 slots, 1 to 3 s each: the modest team
// sends four requests a second, the greedy one as many as given. It gives how
// many of the modest team's requests were served within its patience.
func load(t *testing.T, greedy int, fair bool) (served, refused int) {
	c := soleHome(t, 20, guards{})
	type end struct {
		attempt string
		when    time.Time
		tokens  int
	}
	var running []end
	random := rand.New(rand.NewPCG(7, 7))
	modest := map[*waiting]bool{}
	start := func(attempt string, now time.Time) {
		tokens := 50 + random.IntN(101)
		running = append(running, end{attempt, now.Add(time.Duration(tokens) * defaultTokenTime), tokens})
		slices.SortFunc(running, func(a, b end) int { return a.when.Compare(b.when) })
	}
	send := func(now time.Time, team fleet.Team, n int) {
		a := askFor(fmt.Sprint(team, now.UnixMilli(), "-", n), now)
		a.team, a.wait = team, time.Second
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
			c.release(now, releaseAsk{endpoint: "e1", key: holdKey{fleet.AttemptID(running[0].attempt), fleet.RoleDecode},
				owner: askFor("", now).owner, reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED, tokens: running[0].tokens, busy: time.Duration(running[0].tokens) * defaultTokenTime})
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
		beatCore(c, now, announcement("e1", 20), sequence)
		c.tick(now)
		for _, h := range c.endpoints["e1"].holds {
			h.lapse = now.Add(time.Minute) // the engine lists them
		}
		for _, a := range c.drain().answers {
			if a.answer.status == statusGranted {
				start(string(a.to.ask.attempt), now)
			}
			if modest[a.to] && a.answer.status == statusGranted {
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
	alone, _ := load(t, 0, true)
	beside, refused := load(t, 50, true)
	t.Logf("modest team: %d served alone, %d beside ten times the share (%d refused)", alone, beside, refused)
	assert.Assert(t, float64(beside) >= 0.95*float64(alone))
	unfair, _ := load(t, 50, false)
	t.Logf("modest team: %d served without fairness", unfair)
	assert.Assert(t, float64(unfair) < 0.95*float64(alone), "the proof must fail without its guard")
}

// The order of the queue follows shares in units of work, and priority inside
// a team alone.
func TestFairQueueOrder(t *testing.T) {
	q := newFairQueue(16)
	push := func(team string, share, work float64, priority int, order uint64) {
		q.push(&waiting{ask: &ask{team: fleet.Team(team), share: share, priority: priority}, order: order, work: work})
	}
	for n := range uint64(4) {
		push("heavy", 1, 100, 9, n)
		push("light", 1, 50, 0, n+10)
	}
	push("light", 1, 50, 5, 20)
	counts := map[fleet.Team]float64{}
	any := func(*waiting) bool { return true }
	for range 6 {
		w := q.next(any)
		q.dispatch(w)
		counts[w.ask.team] += w.work
	}
	assert.Equal(t, counts["heavy"], 200.0)
	assert.Equal(t, counts["light"], 200.0)
	q2 := newFairQueue(2)
	q = q2
	push("greedy", 1, 10, 0, 1)
	push("greedy", 1, 10, 0, 2)
	dropped := q.push(&waiting{ask: &ask{team: "modest", share: 1}, order: 3, work: 10})
	assert.Equal(t, dropped.ask.team, fleet.Team("greedy"))
	assert.Equal(t, dropped.order, uint64(2))
}

func TestAheadMatchesTheOrder(t *testing.T) {
	q := newFairQueue(64)
	var all []*waiting
	for n := range 30 {
		w := &waiting{ask: &ask{team: fleet.Team(fmt.Sprint(n % 3)), share: float64(1 + n%3), priority: n % 2}, order: uint64(n), work: float64(10 + n%5)}
		q.push(w)
		all = append(all, w)
	}
	want := map[*waiting]int{}
	for _, w := range all {
		want[w] = q.ahead(w)
	}
	for n := range all {
		w := q.next(func(*waiting) bool { return true })
		assert.Equal(t, want[w], n)
		q.dispatch(w)
	}
}
