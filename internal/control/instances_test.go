package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func TestInstancesTable(t *testing.T) {
	type step func(*testLog) string
	join := func(incarnation uint64) step {
		return func(l *testLog) string { return l.join("a", incarnation, "howrah") }
	}
	expire := func(incarnation uint64) step { return func(l *testLog) string { return l.expire("a", incarnation) } }
	restart := func(l *testLog) string { l.restoreFromSnapshot(); return "" }
	cases := []struct {
		name  string
		steps []step
		last  string // refusal of the last step
		view  uint64
		live  uint64 // incarnation, 0: not live
	}{
		{"join", []step{join(5)}, "", 1, 5},
		{"join twice", []step{join(5), join(5)}, "", 1, 5},
		{"new incarnation", []step{join(5), join(6)}, "", 2, 6},
		{"older incarnation", []step{join(5), join(4)}, refusalIncarnation, 1, 5},
		{"replaced one returns", []step{join(5), join(6), join(5)}, refusalIncarnation, 2, 6},
		{"expired one returns", []step{join(5), expire(5), join(5)}, refusalIncarnation, 2, 0},
		{"expired one returns after a snapshot", []step{join(5), expire(5), restart, join(5)}, refusalIncarnation, 2, 0},
		{"expired, then started anew", []step{join(5), expire(5), join(6)}, "", 3, 6},
		{"expiry of an older one", []step{join(5), join(6), expire(5)}, refusalUnknown, 2, 6},
		{"no incarnation", []step{join(0)}, refusalMalformed, 0, 0},
		{"other zone", []step{join(5), func(l *testLog) string { return l.join("a", 5, "barasat") }}, refusalMalformed, 1, 5},
		{"drain", []step{join(5), func(l *testLog) string { return l.drain("a") }}, "", 2, 5},
		{"drain twice", []step{join(5), func(l *testLog) string { l.drain("a"); return l.drain("a") }}, "", 2, 5},
		{"drain unknown", []step{func(l *testLog) string { return l.drain("a") }}, refusalUnknown, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLog(t)
			var last string
			for _, s := range c.steps {
				last = s(l)
			}
			assert.Equal(t, last, c.last)
			assert.Equal(t, l.machine.ViewNumber(), c.view)
			assert.Equal(t, l.machine.Instance("a").GetIncarnation(), c.live)
		})
	}
}

func TestDrainingSurvivesInstanceUpdate(t *testing.T) {
	l := newLog(t)
	l.join("a", 1, "howrah")
	l.drain("a")
	l.join("a", 1, "howrah")
	assert.Assert(t, l.machine.Instance("a").Draining)
}

func TestMalformedCommandIsRefused(t *testing.T) {
	l := newLog(t)
	assert.Equal(t, l.apply(&pb.Command{}).Refusal, refusalMalformed)
	assert.Equal(t, l.machine.applyLocked(2, []byte{0xff}).Refusal, refusalMalformed)
}
