package provision

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// region is a simulated region of eight engines of one model whose demand flips
// between prefill and decode. Orders take effect at once.
type region struct {
	engines []Engine
	counts  *pb.DemandReply
}

func newRegion() *region {
	r := &region{counts: &pb.DemandReply{InstanceId: "i", Incarnation: 1, Rows: []*pb.DemandRow{
		{Model: fibre.String(), Kind: "prefill", Class: "h"},
		{Model: fibre.String(), Kind: "decode", Class: "h"},
	}}}
	for n, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		role := fleet.RolePrefill
		if n >= 4 {
			role = fleet.RoleDecode
		}
		r.engines = append(r.engines, newEngine(id, "h", role, fibre))
	}
	return r
}

// ask adds the work of a time span: that of the given numbers of prefill and
// decode engines.
func (r *region) ask(prefill, decode float64, of time.Duration, rate int) {
	s := of.Seconds()
	p, d := r.counts.Rows[0], r.counts.Rows[1]
	p.Granted += uint64(4 * s)
	p.PromptTokens += uint64(prefill * targetUtilization * float64(rate) * s)
	d.Granted += uint64(4 * s)
	d.BusyMs += uint64(decode * targetUtilization * 20 * 1000 * s)
}

func (r *region) apply(c Change) {
	for n := range r.engines {
		if r.engines[n].Target.ID == c.Engine.Target.ID {
			for _, o := range c.Orders {
				r.engines[n] = r.engines[n].withOrder(o)
			}
		}
	}
}

// flap runs an hour of demand that flips each period between 5.5 engines of
// prefill and 2 of decode and the reverse, and returns the number of orders.
func flap(p settings.Provision, period time.Duration) (orders int) {
	r := newRegion()
	planner, rates := NewPlanner(p, 2), NewRates(p.Hold)
	for at := time.Duration(0); at < time.Hour; at += p.Poll {
		prefill, decode := 5.5, 2.0
		if at/period%2 == 1 {
			prefill, decode = 2.0, 5.5
		}
		r.ask(prefill, decode, p.Poll, p.PrefillRate)
		now := start.Add(at)
		rates.Add(now, []*pb.DemandReply{proto.CloneOf(r.counts)})
		for _, c := range planner.Step(now, Input{Engines: r.engines, Rows: rates.Rows()}) {
			orders += len(c.Orders)
			r.apply(c)
			planner.Finish(now, c.Engine.Target.ID, true)
		}
	}
	return orders
}

// Bursts make prefill and decode short of engines in turn. Without damping each
// turn would change roles, and engines would spend their time changing. With it
// short turns cause no orders, and long ones are still followed.
func TestFlippingDemandDoesNotFlapRoles(t *testing.T) {
	for _, period := range []time.Duration{10 * time.Second, 20 * time.Second, 30 * time.Second} {
		assert.Equal(t, flap(acting(), period), 0, "%v", period)
		undamped := acting()
		undamped.Hold, undamped.CoolDown = time.Millisecond, time.Millisecond
		t.Logf("period %v: 0 orders in an hour, %d without damping", period, flap(undamped, period))
		assert.Assert(t, flap(undamped, period) > 50)
	}
	lasting := flap(acting(), 20*time.Minute)
	t.Logf("period 20m: %d orders in an hour", lasting)
	assert.Assert(t, lasting >= 2 && lasting <= 12, "%d", lasting)
}

func TestRates(t *testing.T) {
	k := key(fibre, fleet.RoleDecode, "h")
	reply := func(incarnation, granted uint64) []*pb.DemandReply {
		return []*pb.DemandReply{{InstanceId: "i", Incarnation: incarnation, Rows: []*pb.DemandRow{
			{Model: fibre.String(), Kind: "decode", Class: "h", Granted: granted},
			{Model: "malformed", Kind: "decode", Granted: 1 << 60},
			{Model: fibre.String(), Kind: "plain", Granted: 1 << 60},
		}}}
	}
	r := NewRates(time.Millisecond) // nearly without smoothing
	r.Add(start, reply(1, 1_000_000))
	assert.Equal(t, len(r.Rows()), 0) // counts from before the first poll are ignored
	r.Add(start.Add(5*time.Second), reply(1, 1_000_010))
	assert.DeepEqual(t, r.Rows(), []Row{{k, Rate{Granted: 2}}})
	r.Add(start.Add(10*time.Second), reply(2, 15)) // a new process counts from zero
	assert.DeepEqual(t, r.Rows(), []Row{{k, Rate{Granted: 3}}})
	r.Add(start.Add(15*time.Second), reply(2, 15))
	assert.Equal(t, len(r.Rows()), 0)
}

func TestParseModel(t *testing.T) {
	for text, want := range map[string]engineapi.ModelRef{
		"m@v": {Model: "m", Version: "v"}, "m@v/a": {Model: "m", Version: "v", Adapter: "a"},
	} {
		got, ok := ParseModel(text)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
		assert.Equal(t, got.String(), text)
	}
	for _, text := range []string{"", "m", "@v", "m@", "m@/a"} {
		_, ok := ParseModel(text)
		assert.Assert(t, !ok, text)
	}
}
