package provision

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

var (
	fibre = engineapi.ModelRef{Model: "fibre", Version: "v4"}
	notes = engineapi.ModelRef{Model: "notes", Version: "v1"}
)

func acting() settings.Provision {
	p := settings.DefaultProvision()
	p.Mode = settings.ProvisionAct
	return p
}

func newEngine(id string, zone fleet.AvailabilityZone, role fleet.EndpointRole, models ...engineapi.ModelRef) Engine {
	return Engine{
		Target: engine.Target{ID: fleet.EndpointID(id), Incarnation: 1, Zone: zone, Address: "x:1"},
		Role:   role, Models: models, Slots: 20,
	}
}

func key(m engineapi.ModelRef, kind fleet.EndpointRole, zones ...fleet.AvailabilityZone) Key {
	return Key{Model: m, Kind: kind, Class: fleet.NewZoneSet(zones...).Class()}
}

// steps calls Step every five seconds for length and returns all changes.
func steps(p *Planner, from time.Time, length time.Duration, in func(at time.Duration) Input) []Change {
	var all []Change
	for at := time.Duration(0); at < length; at += 5 * time.Second {
		all = append(all, p.Step(from.Add(at), in(at))...)
	}
	return all
}

func always(in Input) func(time.Duration) Input { return func(time.Duration) Input { return in } }

var start = time.Unix(1000, 0)

func TestPlannerStep(t *testing.T) {
	wanted := Row{key(fibre, fleet.RoleDecode, "h"), Rate{Absent: 0.2}}
	busy := Row{wanted.Key, Rate{Granted: 10, Busy: 60}} // the slots of three engines
	prefill := func(r Rate) Row { return Row{key(fibre, fleet.RolePrefill, "h"), r} }
	decoder := func(id string, zone fleet.AvailabilityZone, models ...engineapi.ModelRef) Engine {
		return newEngine(id, zone, fleet.RoleDecode, models...)
	}
	prefiller := func(id string) Engine { return newEngine(id, "h", fleet.RolePrefill, fibre) }
	leaving := decoder("a", "h")
	leaving.Leaving = true
	type engines = []Engine
	type rows = []Row
	for _, row := range []struct {
		name    string
		engines engines
		rows    rows
		want    string
	}{
		{"nothing asked", engines{decoder("a", "h")}, nil, ""},
		{"a model without an endpoint", engines{decoder("a", "h", notes), decoder("b", "h")}, rows{wanted}, "b: load fibre@v4;"},
		{"only where its teams may run", engines{decoder("a", "b"), decoder("c", "h")}, rows{wanted}, "c: load fibre@v4;"},
		{"nowhere that they may run", engines{decoder("a", "b")}, rows{wanted}, ""},
		{"not on one that leaves", engines{leaving}, rows{wanted}, ""},
		{"an idle prefill engine turns to decode", engines{prefiller("a"), prefiller("b"), decoder("c", "h", fibre)},
			rows{busy, prefill(Rate{Granted: 1, PromptTokens: 100})}, "a: change-role decode;"},
		{"the last prefill engine stays", engines{prefiller("a"), decoder("c", "h", fibre)},
			rows{busy, prefill(Rate{Granted: 0.01, PromptTokens: 1})}, ""},
		{"an unused model gives way", engines{decoder("a", "h", notes)}, rows{wanted}, "a: unload notes@v1 load fibre@v4;"},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := ""
			for _, c := range steps(NewPlanner(acting(), 2), start, 20*time.Second, always(Input{Engines: row.engines, Rows: row.rows})) {
				got += fmt.Sprintf("%s:%s;", c.Engine.Target.ID, describe(c.Orders))
			}
			assert.Equal(t, got, row.want)
		})
	}
}

// A load takes five minutes. Until it ends the model has no more engines than
// before, and each poll would order a load at the next idle engine, until all of
// them hold the same model.
func TestLoadInProgressIsCounted(t *testing.T) {
	var engines []Engine
	for n := range 6 {
		engines = append(engines, newEngine(fmt.Sprint("e", n), "h", fleet.RoleDecode))
	}
	in := Input{Engines: engines, Rows: []Row{{key(fibre, fleet.RoleDecode, "h"), Rate{Absent: 1}}}}
	p := NewPlanner(acting(), 6)
	assert.Equal(t, len(steps(p, start, 5*time.Minute, always(in))), 1)
}

// Several models lack an engine at once, and the weight store allows two loads.
func TestLoadsAreBounded(t *testing.T) {
	var in Input
	for n := range 4 {
		in.Engines = append(in.Engines, newEngine(fmt.Sprint("e", n), "h", fleet.RoleDecode))
		m := engineapi.ModelRef{Model: fmt.Sprint("m", n), Version: "v"}
		in.Rows = append(in.Rows, Row{key(m, fleet.RoleDecode, "h"), Rate{Absent: 1}})
	}
	p := NewPlanner(acting(), 2)
	changes := steps(p, start, 5*time.Minute, always(in))
	assert.Equal(t, len(changes), 2)
	p.Finish(start.Add(5*time.Minute), changes[0].Engine.Target.ID, true)
	assert.Equal(t, len(steps(p, start.Add(5*time.Minute), 10*time.Second, always(in))), 1)
}

// A change is to unload a model from one of its two engines. While that engine is
// drained the other one crashes, so the order must not be issued.
func TestLastEndpointIsKept(t *testing.T) {
	a, b := newEngine("a", "h", fleet.RoleDecode, notes), newEngine("b", "h", fleet.RoleDecode, notes)
	demands := []schedule.PlanDemand{{Model: notes, Kind: fleet.RoleDecode, Permitted: fleet.NewZoneSet("h"), Engines: 0.01}}
	c := Change{Engine: a, Orders: []schedule.PlanOrder{
		{Endpoint: "a", Kind: engineapi.OrderUnload, Model: notes},
		{Endpoint: "a", Kind: engineapi.OrderLoad, Model: fibre},
	}}
	assert.Assert(t, KeepsServed(c, []Engine{a, b}, demands))
	assert.Assert(t, !KeepsServed(c, []Engine{a}, demands))
	b.Leaving = true
	assert.Assert(t, !KeepsServed(c, []Engine{a, b}, demands))
	b = newEngine("b", "elsewhere", fleet.RoleDecode, notes)
	assert.Assert(t, !KeepsServed(c, []Engine{a, b}, demands))
	assert.Assert(t, KeepsServed(c, []Engine{a}, nil))
}
