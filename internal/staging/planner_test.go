package staging

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// endpoints returns ready endpoints, prefill before decode, the newest last.
func endpoints(prefill, decode int) []Endpoint {
	var list []Endpoint
	for n := range prefill + decode {
		stage := pb.Stage_STAGE_PREFILL
		if n >= prefill {
			stage = pb.Stage_STAGE_DECODE
		}
		list = append(list, Endpoint{ID: fmt.Sprint(n), Stage: stage, Ready: true, Registered: uint64(n)})
	}
	return list
}

// run steps a planner for the given time and returns the first change.
func run(p *Planner, list []Endpoint, d time.Duration) (Change, bool) {
	start := time.Unix(0, 0)
	for at := time.Duration(0); at <= d; at += 400 * time.Millisecond {
		if c, ok := p.Step(start.Add(at), list); ok {
			return c, true
		}
	}
	return Change{}, false
}

func TestShares(t *testing.T) {
	for _, test := range []struct {
		prefill, decode int
		want            pb.Stage // 0 for no change
	}{
		{5, 7, pb.Stage_STAGE_DECODE},
		{3, 9, 0},
		{2, 10, pb.Stage_STAGE_PREFILL},
		{0, 12, pb.Stage_STAGE_PREFILL},
		{1, 1, 0},
		{2, 0, pb.Stage_STAGE_DECODE},
		{1, 0, 0},
		{0, 0, 0},
	} {
		change, ok := run(&Planner{}, endpoints(test.prefill, test.decode), 5*time.Second)
		assert.Equal(t, ok, test.want != 0, "%d and %d", test.prefill, test.decode)
		assert.Equal(t, change.Stage, test.want)
	}
}

// Guards against the replacement of a prefill endpoint that crashes and is back at once: the
// replacement would be out of service for ten seconds for nothing.
func TestBriefLossChangesNothing(t *testing.T) {
	p := &Planner{}
	start := time.Unix(0, 0)
	for n := range 20 {
		list := endpoints(3, 9)
		list[0].Ready = n%3 == 0
		_, ok := p.Step(start.Add(time.Duration(n)*400*time.Millisecond), list)
		assert.Assert(t, !ok)
	}
}

// Changes under way count as done, and only a part of the endpoints is out of service at
// a time.
func TestChangesUnderWayAreCounted(t *testing.T) {
	list := endpoints(5, 7)
	list[4].Assigned, list[3].Assigned = pb.Stage_STAGE_DECODE, pb.Stage_STAGE_DECODE
	_, ok := run(&Planner{}, list, 10*time.Second)
	assert.Assert(t, !ok, "two of twelve are changing, and three prefill endpoints will be left")
	list = endpoints(6, 6)
	list[5].Assigned, list[4].Assigned = pb.Stage_STAGE_DECODE, pb.Stage_STAGE_DECODE
	_, ok = run(&Planner{}, list, 10*time.Second)
	assert.Assert(t, !ok, "two of twelve are changing")
	list[5].Assigned = 0
	change, ok := run(&Planner{}, list, 10*time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, change.ID, "5", "the newest endpoint that is not changing")
}

// The share of prefill endpoints falls with the size of the fleet: a quarter of a small one.
func TestPrefillShareFallsWithSize(t *testing.T) {
	for n, want := range map[int]int{1: 1, 8: 2, 12: 3, 15: 4, 60: 11, 90: 16, 300: 45} {
		assert.Equal(t, TargetPrefillCount(n), want, "%d endpoints", n)
	}
}
