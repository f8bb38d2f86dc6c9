package provision

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// Engine is a prefill or decode endpoint as reported by its home.
type Engine struct {
	Target  engine.Target
	Role    fleet.EndpointRole
	Models  []engineapi.ModelRef
	Slots   int
	Granted int
	Queued  int
	Leaving bool // takes no new work
}

// EngineOf parses a digest; ok is false for plain services and malformed digests.
func EngineOf(d *pb.EndpointDigest) (e Engine, ok bool) {
	e = Engine{
		Target: engine.Target{
			ID:          fleet.EndpointID(d.GetId()),
			Incarnation: fleet.Incarnation(d.GetIncarnation()),
			Zone:        fleet.AvailabilityZone(d.GetAvailabilityZone()),
			Address:     d.GetAddress(),
		},
		Role:    fleet.EndpointRole(d.GetRole()),
		Slots:   int(d.GetSlots()),
		Granted: int(d.GetGranted()),
		Queued:  int(d.GetQueued()),
		Leaving: d.GetLeaving(),
	}
	for _, name := range d.GetModels() {
		if m, valid := ParseModel(name); valid {
			e.Models = append(e.Models, m)
		}
	}
	return e, e.Target.ID != "" && (e.Role.Takes(fleet.RolePrefill) || e.Role.Takes(fleet.RoleDecode))
}

func (e Engine) busy() float64 {
	if e.Slots <= 0 {
		return 1
	}
	return min(float64(e.Granted+e.Queued)/float64(e.Slots), 1)
}

func (e Engine) serves(k Key) bool {
	return e.Role.Takes(k.Kind) && slices.Contains(e.Models, k.Model) &&
		fleet.ParseZoneClass(k.Class).Permits(e.Target.Zone)
}

// withOrder returns the engine as it will be once an order is done.
func (e Engine) withOrder(o schedule.PlanOrder) Engine {
	switch o.Kind {
	case engineapi.OrderLoad:
		if !slices.Contains(e.Models, o.Model) {
			e.Models = append(slices.Clone(e.Models), o.Model)
		}
	case engineapi.OrderUnload:
		e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(m engineapi.ModelRef) bool { return m == o.Model })
	case engineapi.OrderChangeRole:
		e.Role = o.Role
	}
	return e
}
