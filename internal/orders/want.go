package orders

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Want is what an endpoint is to become.
type Want struct {
	ID    string // idempotency key, chosen by who asks
	Kind  engineapi.OrderKind
	Model engineapi.ModelRef // load and unload
	Role  fleet.EndpointRole // change role
}

// metBy tells whether the endpoint's own description shows the order done.
func (w Want) metBy(a engineapi.Announcement) bool {
	loaded := slices.Contains(a.Models, w.Model)
	switch w.Kind {
	case engineapi.OrderLoad:
		return loaded
	case engineapi.OrderUnload:
		return !loaded
	case engineapi.OrderChangeRole:
		return a.Role == w.Role
	}
	return false
}

func (w Want) kind() pb.OrderKind {
	switch w.Kind {
	case engineapi.OrderLoad:
		return pb.OrderKind_ORDER_KIND_LOAD
	case engineapi.OrderUnload:
		return pb.OrderKind_ORDER_KIND_UNLOAD
	case engineapi.OrderChangeRole:
		return pb.OrderKind_ORDER_KIND_CHANGE_ROLE
	}
	return pb.OrderKind_ORDER_KIND_UNSPECIFIED
}

// wantOf gives what a recorded order asks for.
func wantOf(o *pb.IssueOrder, id string) Want {
	w := Want{
		ID:    id,
		Model: engineapi.ModelRef{Model: o.GetModel(), Version: o.GetVersion(), Adapter: o.GetAdapter()},
		Role:  fleet.EndpointRole(o.GetRole()),
	}
	switch o.GetKind() {
	case pb.OrderKind_ORDER_KIND_LOAD:
		w.Kind = engineapi.OrderLoad
	case pb.OrderKind_ORDER_KIND_UNLOAD:
		w.Kind = engineapi.OrderUnload
	case pb.OrderKind_ORDER_KIND_CHANGE_ROLE:
		w.Kind = engineapi.OrderChangeRole
	}
	return w
}
