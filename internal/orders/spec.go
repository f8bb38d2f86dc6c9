package orders

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Spec is the change requested of an endpoint.
type Spec struct {
	ID    string // idempotency key, chosen by the caller
	Kind  engineapi.OrderKind
	Model engineapi.ModelRef // for load and unload
	Role  fleet.EndpointRole // for change role
}

// shownBy reports whether the endpoint's announcement shows the order done.
func (w Spec) shownBy(a engineapi.Announcement) bool {
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

func (w Spec) kind() pb.OrderKind {
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

// specOf returns the change that a recorded order requests.
func specOf(o *pb.IssueOrder, id string) Spec {
	w := Spec{
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
