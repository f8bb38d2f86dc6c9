package fleet_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func viewOf(instances ...fleet.Instance) fleet.View {
	view := fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{}}
	for _, i := range instances {
		view.Instances[i.ID] = i
	}
	return view
}

func entries(n int) []fleet.Instance {
	all := make([]fleet.Instance, n)
	for k := range all {
		all[k] = fleet.Instance{
			ID:    fleet.InstanceID(fmt.Sprintf("i%d", k)),
			Zone:  fleet.AvailabilityZone(fmt.Sprintf("z%d", k%3)),
			Entry: true,
		}
	}
	return all
}

func TestZoneSet(t *testing.T) {
	set := fleet.NewZoneSet("b", "a", "b")
	assert.Equal(t, set.Class(), "a+b")
	assert.Equal(t, set.Len(), 2)
	assert.Assert(t, set.Permits("a") && set.Permits("b") && !set.Permits("c") && !set.Permits(""))
	assert.DeepEqual(t, fleet.ParseZoneClass(set.Class()).Zones(), []fleet.AvailabilityZone{"a", "b"})
	var none fleet.ZoneSet
	assert.Assert(t, !none.Permits("a") && !none.Permits("") && none.Zones() == nil)
	assert.Assert(t, !fleet.ParseZoneClass("").Permits(""))
}

func TestHomeIsTheFirstOfTheRanking(t *testing.T) {
	all := entries(20)
	view := viewOf(all...)
	for n := range 200 {
		endpoint := fleet.EndpointID(fmt.Sprintf("e%d", n))
		home, ok := fleet.HomeOf(endpoint, "z1", view)
		assert.Assert(t, ok)
		assert.Equal(t, home.ID, fleet.RankInstances(string(endpoint), "z1", all)[0].ID)
		assert.Equal(t, home.Zone, fleet.AvailabilityZone("z1"))
	}
}

// TestInstanceLossMovesOnlyItsEndpoints checks that the loss of an entry changes
// the home of only those endpoints that it was home of. If others moved too, each
// loss would disturb the whole fleet.
func TestInstanceLossMovesOnlyItsEndpoints(t *testing.T) {
	all := entries(10)
	before := viewOf(all...)
	after := viewOf(all[1:]...)
	for n := range 300 {
		endpoint := fleet.EndpointID(fmt.Sprintf("e%d", n))
		old, _ := fleet.HomeOf(endpoint, "none", before)
		now, _ := fleet.HomeOf(endpoint, "none", after)
		if old.ID != all[0].ID {
			assert.Equal(t, now.ID, old.ID)
		}
	}
}

func TestHomeIsNeitherDrainingNorWithoutEntryRole(t *testing.T) {
	draining := fleet.Instance{ID: "d", Entry: true, Draining: true}
	control := fleet.Instance{ID: "c", Control: true}
	_, ok := fleet.HomeOf("e", "z", viewOf(draining, control))
	assert.Assert(t, !ok)
	home, ok := fleet.HomeOf("e", "z", viewOf(draining, control, fleet.Instance{ID: "x", Entry: true}))
	assert.Assert(t, ok)
	assert.Equal(t, home.ID, fleet.InstanceID("x"))
}

func TestRolesTakeWork(t *testing.T) {
	cases := []struct {
		role, work fleet.EndpointRole
		takes      bool
	}{
		{fleet.RoleBoth, fleet.RolePrefill, true},
		{fleet.RoleBoth, fleet.RoleDecode, true},
		{fleet.RoleBoth, fleet.RolePlain, false},
		{fleet.RolePrefill, fleet.RoleDecode, false},
		{fleet.RoleDecode, fleet.RoleDecode, true},
		{fleet.RolePlain, fleet.RolePlain, true},
	}
	for _, c := range cases {
		assert.Equal(t, c.role.Takes(c.work), c.takes, "%s takes %s", c.role, c.work)
	}
}

func BenchmarkHomeOf1300Instances(b *testing.B) {
	view := viewOf(entries(1300)...)
	for b.Loop() {
		_, _ = fleet.HomeOf("endpoint", "z1", view)
	}
}
