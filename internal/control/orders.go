package control

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"google.golang.org/protobuf/proto"
)

// orders keeps a bounded number of issued orders: by ID, to recognise repeats,
// and the latest one of each endpoint.
type orders struct {
	byID             map[string]*pb.OrderRecord
	latestByEndpoint map[string]*pb.OrderRecord
	oldestFirst      []*pb.OrderRecord
	loadSlots        loadSlots
}

func newOrders() *orders {
	return &orders{byID: make(map[string]*pb.OrderRecord), latestByEndpoint: make(map[string]*pb.OrderRecord)}
}

func (o *orders) add(r *pb.OrderRecord) {
	o.byID[r.GetOrder().GetOrderId()] = r
	o.latestByEndpoint[r.GetOrder().GetEndpointId()] = r
	o.oldestFirst = append(o.oldestFirst, r)
	if len(o.oldestFirst) <= maxOrders {
		return
	}
	oldest := o.oldestFirst[0]
	o.oldestFirst = o.oldestFirst[1:]
	if o.byID[oldest.GetOrder().GetOrderId()] == oldest {
		delete(o.byID, oldest.GetOrder().GetOrderId())
	}
	if o.latestByEndpoint[oldest.GetOrder().GetEndpointId()] == oldest {
		delete(o.latestByEndpoint, oldest.GetOrder().GetEndpointId())
	}
}

// applyOrder assigns an order its fencing token: the log index, so that a later
// order to any endpoint always has a higher token. An issuer that is not in the
// view gets none.
func (m *Machine) applyOrder(index uint64, o *pb.IssueOrder) *pb.CommandResult {
	if !validOrder(o) {
		return refused(refusalMalformed)
	}
	if first, ok := m.orders.byID[o.OrderId]; ok {
		if !proto.Equal(first.Order, o) {
			return refused(refusalOrderID)
		}
		return &pb.CommandResult{Order: first, NewestOrder: m.orders.latestByEndpoint[o.EndpointId]}
	}
	issuer := m.instances[o.IssuerInstance]
	if issuer == nil || issuer.Incarnation != o.IssuerIncarnation {
		return refused(refusalIssuer)
	}
	record := &pb.OrderRecord{Order: o, Token: index, IssuedUnixMs: m.clockUnixMs}
	if previous := m.orders.latestByEndpoint[o.EndpointId]; previous != nil {
		record.PreviousToken = previous.Token
		record.PreviousIssuer = previous.GetOrder().GetIssuerInstance()
		record.PreviousIssuerIncarnation = previous.GetOrder().GetIssuerIncarnation()
		record.PreviousUnixMs = previous.IssuedUnixMs
	}
	if o.Kind == pb.OrderKind_ORDER_KIND_LOAD {
		delay, ok := m.orders.loadSlots.reserve(m.clockUnixMs, m.loadPlan(o))
		if !ok {
			return refused(refusalFull)
		}
		record.DelayMs = delay
	}
	m.orders.add(record)
	return &pb.CommandResult{Order: record, NewestOrder: record}
}

func validOrder(o *pb.IssueOrder) bool {
	if !validName(o.GetOrderId()) || !validName(o.GetEndpointId()) || !validName(o.GetIssuerInstance()) {
		return false
	}
	for _, s := range []string{o.Model, o.Version, o.Adapter, o.Role} {
		if len(s) > maxNameBytes {
			return false
		}
	}
	switch o.Kind {
	case pb.OrderKind_ORDER_KIND_LOAD, pb.OrderKind_ORDER_KIND_UNLOAD:
		return o.Model != ""
	case pb.OrderKind_ORDER_KIND_CHANGE_ROLE:
		return validRole(fleet.EndpointRole(o.Role))
	}
	return false
}

func validRole(r fleet.EndpointRole) bool {
	switch r {
	case fleet.RolePrefill, fleet.RoleDecode, fleet.RoleBoth, fleet.RolePlain:
		return true
	}
	return false
}
