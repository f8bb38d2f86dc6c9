package endpoint

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// orphanBound is the stated bound for a lost cancel and for a killed owner,
// counted from the loss; forgottenBound is that for a live owner that has
// forgotten the request.
const (
	orphanBound    = 4500 * time.Millisecond
	forgottenBound = 11 * time.Second
)

// timeToFree simulates one loss at a random moment between heartbeats, and
// returns the time until the engine has freed the hold. Half of the home's
// direct cancels and a tenth of the replies are lost. A killed owner leaves the
// view after its lease of 2 s and up to a second more.
func timeToFree(t *testing.T, random *rand.Rand, cause string) time.Duration {
	c := homeOfOne(t, 2, testFaults{})
	owner := requestFor("x", epoch).owner
	c.grant(epoch, requestFor("x", epoch))
	loss := 600*time.Millisecond + time.Duration(random.IntN(10_000))*time.Millisecond
	leavesViewAt := loss + 2*time.Second + time.Duration(random.IntN(1000))*time.Millisecond
	phase := random.IntN(30)
	sequence := uint64(1)
	for n := 0; n < 4000; n++ {
		d := time.Duration(n) * 10 * time.Millisecond
		now := at(d)
		if cause == "released" && d/(10*time.Millisecond) == loss/(10*time.Millisecond) {
			releaseSlot(c, now, "x", pb.ReleaseReason_RELEASE_REASON_CANCELLED, fleet.Fingerprint{})
		}
		if cause == "killed" && d >= leavesViewAt {
			c.observe(now, viewOf(2, instance("a", zoneNear)), true)
		}
		var cancel []fleet.AttemptID
		if n%30 == phase {
			sequence++
			cancel = heartbeatTo(c, now, announcement("e1", 2), sequence, engineapi.Held{Attempt: "x", Owner: owner,
				Stage: engineapi.StageDecode, AgeMs: d.Milliseconds()})
		}
		if n%5 == 0 {
			c.tick(now)
		}
		out := c.takeEffects()
		for _, a := range out.ownerQueries {
			if cause == "forgotten" && d > loss {
				c.disowned(now, "e1", a.owner, fleet.AttemptID(a.held.AttemptId))
			}
		}
		direct := len(out.cancels) > 0 && random.IntN(2) == 0
		if direct || (len(cancel) > 0 && random.IntN(10) > 0) {
			return d - loss
		}
	}
	t.Fatal("never freed")
	return 0
}

func TestOrphanTimes(t *testing.T) {
	for cause, bound := range map[string]time.Duration{
		"killed": orphanBound, "released": orphanBound, "forgotten": forgottenBound,
	} {
		random := rand.New(rand.NewPCG(11, 11))
		var list []time.Duration
		for range 500 {
			list = append(list, timeToFree(t, random, cause))
		}
		slices.Sort(list)
		t.Logf("%s: p50 %v, p99 %v, most %v", cause, list[250], list[495], list[499])
		assert.Assert(t, list[499] <= bound, "%s: %v", cause, list[499])
	}
}
