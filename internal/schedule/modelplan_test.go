package schedule

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var (
	fibre      = engineapi.ModelRef{Model: "fibre", Version: "1"}
	lyric      = engineapi.ModelRef{Model: "lyric", Version: "1"}
	howrahOnly = fleet.NewZoneSet("howrah")
)

func engines(decodeFibre, prefillFibre, decodeLyric int) []PlanEngine {
	var out []PlanEngine
	add := func(count int, role fleet.EndpointRole, m engineapi.ModelRef) {
		for range count {
			id := fleet.EndpointID(fmt.Sprint("e", len(out)))
			out = append(out, PlanEngine{ID: id, Zone: "howrah", Role: role, Models: []engineapi.ModelRef{m}})
		}
	}
	add(decodeFibre, fleet.RoleDecode, fibre)
	add(prefillFibre, fleet.RolePrefill, fibre)
	add(decodeLyric, fleet.RoleDecode, lyric)
	return out
}

func demand(m engineapi.ModelRef, kind fleet.EndpointRole, engines float64) PlanDemand {
	return PlanDemand{Model: m, Kind: kind, Permitted: howrahOnly, Engines: engines}
}

func TestModelPlanner(t *testing.T) {
	for _, row := range []struct {
		name    string
		engines []PlanEngine
		demands []PlanDemand
		want    []engineapi.OrderKind
	}{
		{"enough of all", engines(4, 2, 2), []PlanDemand{demand(fibre, fleet.RoleDecode, 3.9), demand(lyric, fleet.RoleDecode, 2)}, nil},
		{"a lack below the threshold", engines(4, 2, 2), []PlanDemand{demand(fibre, fleet.RoleDecode, 4.5), demand(fibre, fleet.RolePrefill, 1)}, nil},
		{"prefill spares one for decode", engines(4, 4, 0), []PlanDemand{demand(fibre, fleet.RoleDecode, 5), demand(fibre, fleet.RolePrefill, 2)}, []engineapi.OrderKind{engineapi.OrderChangeRole}},
		{"an idle model gives way", engines(4, 2, 4), []PlanDemand{demand(fibre, fleet.RoleDecode, 5), demand(fibre, fleet.RolePrefill, 2), demand(lyric, fleet.RoleDecode, 1)}, []engineapi.OrderKind{engineapi.OrderUnload, engineapi.OrderLoad}},
		{"none to spare", engines(4, 2, 2), []PlanDemand{demand(fibre, fleet.RoleDecode, 8), demand(fibre, fleet.RolePrefill, 2), demand(lyric, fleet.RoleDecode, 2)}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			p := NewModelPlanner(PlanOptions{})
			now := time.Unix(100, 0)
			assert.Equal(t, len(p.Step(now, row.engines, row.demands)), 0) // the shortage hasn't lasted for Hold
			var kinds []engineapi.OrderKind
			for _, o := range p.Step(now.Add(6*time.Second), row.engines, row.demands) {
				kinds = append(kinds, o.Kind)
			}
			assert.DeepEqual(t, kinds, row.want)
		})
	}
}

// Demand swings between prefill and decode every two seconds. Without damping
// each swing would change roles, and engines would spend their time changing
// instead of serving.
func TestModelPlannerIgnoresShortSwings(t *testing.T) {
	p := NewModelPlanner(PlanOptions{})
	now := time.Unix(100, 0)
	for n := range 120 {
		decode, prefill := 5.0, 2.0
		if n/2%2 == 0 {
			decode, prefill = 2.0, 5.0
		}
		demands := []PlanDemand{demand(fibre, fleet.RoleDecode, decode), demand(fibre, fleet.RolePrefill, prefill)}
		orders := p.Step(now.Add(time.Duration(n)*time.Second), engines(4, 4, 0), demands)
		assert.Equal(t, len(orders), 0)
	}
}

// A lost order leaves the engine unchanged. It is issued again, but only after
// the engine's cooldown, and no more than one order is issued per interval.
func TestModelPlannerBoundsOrderRate(t *testing.T) {
	p := NewModelPlanner(PlanOptions{})
	start := time.Unix(100, 0)
	demands := []PlanDemand{demand(fibre, fleet.RoleDecode, 9), demand(fibre, fleet.RolePrefill, 1)}
	ordered := map[fleet.EndpointID]time.Time{}
	last := time.Time{}
	total := 0
	for n := range 1200 {
		now := start.Add(time.Duration(n) * 100 * ms)
		for _, o := range p.Step(now, engines(4, 4, 0), demands) {
			assert.Assert(t, last.IsZero() || now.Sub(last) >= 2*time.Second)
			if at, ok := ordered[o.Endpoint]; ok {
				assert.Assert(t, now.Sub(at) >= time.Minute)
			}
			ordered[o.Endpoint], last = now, now
			total++
		}
	}
	assert.Assert(t, total > 1 && total <= 8, "%d orders", total)
}
