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

// fullEndpoint returns a full engine whose outputs have 100 to 300 tokens of 10
// ms. Its holds began at random moments of the last 1.5 s; elapsed is how long
// ago.
func fullEndpoint(random *rand.Rand) (r *record, p *Predictor, elapsed []time.Duration) {
	p = NewPredictor(random)
	for range 500 {
		tokens := 100 + random.IntN(200)
		p.Observe(FinishedWork{Team: "sorters", Model: "m@1", Kind: fleet.RoleDecode, OutputTokens: tokens, Busy: time.Duration(tokens) * 10 * time.Millisecond})
	}
	r = newRecord(epoch, announcement("e1", 20), epoch)
	for n := range 20 {
		ago := time.Duration(random.IntN(1500)) * time.Millisecond
		key := holdKey{fleet.AttemptID(fmt.Sprint(n)), fleet.RoleDecode}
		r.holds[key] = &hold{key: key, team: "sorters", model: "m@1", grantedAt: epoch.Add(-ago)}
		elapsed = append(elapsed, ago)
	}
	return r, p, elapsed
}

// A full engine with twenty requests releases a slot every hundred
// milliseconds, yet callers are refused if the first release is predicted a
// second away: at the smallest median of each request's remaining time, by
// which time several others have ended.
func TestForecastOfTheNextReleases(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r, p, begun := fullEndpoint(random)
	f := r.forecast(epoch, p)
	const draws = 2001
	releases := make([][]time.Duration, 20)
	for range draws {
		var rests []time.Duration
		for _, ago := range begun {
			least := max(100, int(ago/(10*time.Millisecond))+1)
			rests = append(rests, time.Duration(least+random.IntN(300-least))*10*time.Millisecond-ago)
		}
		slices.Sort(rests)
		for n, rest := range rests {
			releases[n] = append(releases[n], rest)
		}
	}
	for n := range 10 {
		slices.Sort(releases[n])
		median := releases[n][draws/2]
		late := releases[n][draws*2/3]
		predicted := f.freeIn(n)
		assert.Assert(t, predicted > median*6/10 && predicted < median*14/10, "release %d: predicted %v, median %v", n, predicted, median)
		if n > maxPending(20) {
			continue
		}
		assert.Assert(t, f.likelyFreeIn(n) >= late, "release %d: likely by %v, two in three by %v", n, f.likelyFreeIn(n), late)
	}
	medians := time.Hour
	for _, ago := range begun {
		medians = min(medians, p.Remaining(FinishedWork{Team: "sorters", Model: "m@1", Kind: fleet.RoleDecode}, 0, ago, medianQuantile))
	}
	assert.Assert(t, medians > 2*f.freeIn(0), "the least of the medians, %v, would do as well as %v", medians, f.freeIn(0))
}

// The output length that a caller allows bounds the prediction, whatever other
// outputs have taken.
func TestRemainingIsBoundedByTheOutputLimit(t *testing.T) {
	p := NewPredictor(rand.New(rand.NewPCG(1, 1)))
	f := FinishedWork{Team: "sorters", Model: "m@1", Kind: fleet.RoleDecode}
	learned := f
	learned.OutputTokens, learned.Busy = 300, 3*time.Second
	p.Observe(learned)
	assert.Equal(t, p.Remaining(f, 0, 0, medianQuantile), 3*time.Second)
	assert.Equal(t, p.Remaining(f, 120, 0, medianQuantile), 1200*time.Millisecond)
	overdue := p.Remaining(f, 120, 2*time.Second, medianQuantile)
	assert.Assert(t, overdue > 0 && overdue < 200*time.Millisecond, overdue)
}

// Four prefills wait at an engine that computes one at a time, so the busy time
// of each includes the work before it. The sum of the busy times would be more
// than twice the work, and callers would be refused because of it.
func TestQueuedWorkOfSequentialPrefills(t *testing.T) {
	const work = 400 * time.Millisecond
	c := homeOfOne(t, 20, testFaults{})
	a := announcement("e1", 20)
	a.Role = fleet.RolePrefill
	heartbeatTo(c, epoch, a, 2)
	prefill := func(n int, now time.Time) {
		q := requestFor(fmt.Sprint("p", n), now)
		q.kind, q.promptTokens = fleet.RolePrefill, 1500
		given, _ := c.grant(now, q)
		assert.Equal(t, given.status, statusGranted)
	}
	for round := range 5 {
		now := at(time.Duration(round) * 5 * work)
		for n := range 4 {
			prefill(4*round+n, now)
		}
		for n := range 4 {
			now = now.Add(work)
			heartbeatTo(c, now, a, uint64(3+4*round+n))
			c.release(now, slotRelease{endpoint: "e1", key: holdKey{fleet.AttemptID(fmt.Sprint("p", 4*round+n)), fleet.RolePrefill},
				owner: instance("owner", zoneFar).Owner(), reason: pb.ReleaseReason_RELEASE_REASON_COMPLETED,
				busy: time.Duration(n+1) * work})
		}
	}
	now := at(25 * work)
	for n := range 4 {
		prefill(100+n, now)
	}
	ahead := c.queuedWork(now.Add(work/2), c.endpoints["e1"])
	want := 4*work - work/2
	assert.Assert(t, ahead > want-20*time.Millisecond && ahead < want+20*time.Millisecond, "%v, not about %v", ahead, want)
}

// Decode slots are acquired a second before their prefill has ended. Counted
// from the grant, a request seems a second nearer to its end than it is. Slots
// are then granted ahead too early, and prefills made for them are discarded.
func TestDecodeTimeCountsFromItsStart(t *testing.T) {
	p := NewPredictor(rand.New(rand.NewPCG(1, 1)))
	p.Observe(FinishedWork{Team: "sorters", Model: "m@1", Kind: fleet.RoleDecode, OutputTokens: 200, Busy: 2 * time.Second})
	p.observeStartDelay("m@1", time.Second)
	firstRemaining := func(h hold) time.Duration {
		h.key.kind, h.team, h.model, h.grantedAt = fleet.RoleDecode, "sorters", "m@1", epoch
		return p.appendRemaining(nil, &h, at(1500*time.Millisecond))[0]
	}
	assert.Equal(t, firstRemaining(hold{enteredAt: at(1200 * time.Millisecond)}), 1700*time.Millisecond, "listed: since it entered")
	assert.Equal(t, firstRemaining(hold{}), 1500*time.Millisecond, "not yet listed: after the usual time")
	p.observeStartDelay("m@1", 11*time.Second)
	assert.Equal(t, firstRemaining(hold{}), 2500*time.Millisecond, "begins in half a second")
}

// A team's outputs are exactly as long as allowed. Learned from all output
// lengths, the remaining time of a long one is always predicted too short, and
// slots are granted ahead too early.
func TestOutputsThatUseTheWholeLimit(t *testing.T) {
	p := NewPredictor(rand.New(rand.NewPCG(1, 1)))
	f := FinishedWork{Team: "sorters", Model: "m@1", Kind: fleet.RoleDecode}
	see := func(allowed, tokens int) {
		done := f
		done.OutputTokens, done.Busy = tokens, time.Duration(tokens)*10*time.Millisecond
		p.Observe(done)
		p.observeFullLength(done, allowed)
	}
	for range 40 {
		see(150, 150)
		see(350, 350)
	}
	assert.Equal(t, p.Remaining(f, 350, 0, 0.1), 3500*time.Millisecond)
	assert.Equal(t, p.Remaining(f, 200, 0, 0.9), 2*time.Second)
	for range 80 {
		see(1000, 150)
	}
	assert.Equal(t, p.Remaining(f, 1000, 0, medianQuantile), 1500*time.Millisecond, "others allow more than they take")
}
