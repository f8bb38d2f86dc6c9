package provision

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// Limits and the ID prefix of operators' orders.
const (
	maxOperatorOrders        = 256
	operatorOrderWait        = 10 * time.Second // how long one request waits for the end
	maxOperatorOrderDuration = 3 * time.Hour    // including the wait for a turn at the weight store
	operatorIDPrefix         = "operator/"
)

// operatorOrder is an operator's order; result is set before ended is closed.
type operatorOrder struct {
	change Change
	ended  chan struct{}
	result Result
}

// operatorOrders holds the latest operators' orders of this process. Safe for
// concurrent use.
type operatorOrders struct {
	mu   sync.Mutex
	byID map[string]*operatorOrder
	ids  []string
}

func newOperatorOrders() *operatorOrders {
	return &operatorOrders{byID: make(map[string]*operatorOrder)}
}

// begin returns the order with an ID. fresh reports that it is new and that the
// caller must run it. An ID that belongs to a different order is a BadParameter
// error, and too many unfinished orders are a LimitExceeded error.
func (o *operatorOrders) begin(id string, c Change) (op *operatorOrder, fresh bool, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if op, ok := o.byID[id]; ok {
		if op.change.Engine.Target.ID != c.Engine.Target.ID || op.change.Orders[0] != c.Orders[0] {
			return nil, false, trace.BadParameter("order %s was another one", id)
		}
		return op, false, nil
	}
	if len(o.ids) >= maxOperatorOrders && !o.removeEnded() {
		return nil, false, trace.LimitExceeded("%d orders are under way", maxOperatorOrders)
	}
	op = &operatorOrder{change: c, ended: make(chan struct{})}
	o.byID[id] = op
	o.ids = append(o.ids, id)
	return op, true, nil
}

func (o *operatorOrders) removeEnded() bool {
	for n, id := range o.ids {
		select {
		case <-o.byID[id].ended:
			delete(o.byID, id)
			o.ids = append(o.ids[:n], o.ids[n+1:]...)
			return true
		default:
		}
	}
	return false
}

// Order carries out an operator's order at the endpoint that digest describes,
// and waits up to operatorOrderWait for its end. Calling it again with the same
// ID resumes the wait. by is the operator's name.
func (s *Service) Order(ctx context.Context, in *pb.OrderEndpointRequest, digest *pb.EndpointDigest, by string) (*pb.OrderEndpointReply, error) {
	c, err := changeOf(in, digest)
	if err != nil {
		return nil, err
	}
	id := operatorIDPrefix + in.GetOrderId()
	op, fresh, err := s.operatorOrders.begin(id, c)
	if err != nil {
		return nil, err
	}
	if fresh {
		s.executor.record("by operator "+by, id, c)
		go s.runOperatorOrder(id, op)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorOrderWait)
	defer cancel()
	select {
	case <-op.ended:
		return &pb.OrderEndpointReply{Ended: true, Outcome: string(op.result)}, nil
	case <-ctx.Done():
		return &pb.OrderEndpointReply{}, nil
	}
}

// runOperatorOrder continues after its request has ended, for at most
// maxOperatorOrderDuration. Unlike a planned change, it may take a model's last
// endpoint.
func (s *Service) runOperatorOrder(id string, op *operatorOrder) {
	ctx, cancel := context.WithTimeout(context.Background(), maxOperatorOrderDuration)
	defer cancel()
	op.result = s.executor.run(ctx, id, op.change, s.provisionSettings().Drain, func(Change) bool { return true })
	s.metrics.ended.WithLabelValues(string(op.result)).Inc()
	s.executor.record(string(op.result), id, op.change)
	close(op.ended)
}

const maxOrderID = 96 // bytes

// changeOf validates an operator's order and returns its change.
func changeOf(in *pb.OrderEndpointRequest, digest *pb.EndpointDigest) (Change, error) {
	if in.GetOrderId() == "" || len(in.GetOrderId()) > maxOrderID {
		return Change{}, trace.BadParameter("order_id is missing or longer than %d bytes", maxOrderID)
	}
	e, ok := EngineOf(digest)
	if !ok {
		return Change{}, trace.BadParameter("endpoint %s is not an engine", digest.GetId())
	}
	order := schedule.PlanOrder{Endpoint: e.Target.ID, Kind: engineapi.OrderKind(in.GetKind())}
	switch order.Kind {
	case engineapi.OrderLoad, engineapi.OrderUnload:
		if order.Model, ok = ParseModel(in.GetModel()); !ok {
			return Change{}, trace.BadParameter("write the model as model@version or model@version/adapter")
		}
	case engineapi.OrderChangeRole:
		order.Role = fleet.EndpointRole(in.GetRole())
		if !modelRole(order.Role) {
			return Change{}, trace.BadParameter("role must be prefill, decode or both")
		}
	default:
		return Change{}, trace.BadParameter("kind must be %s", strings.Join([]string{
			string(engineapi.OrderLoad), string(engineapi.OrderUnload), string(engineapi.OrderChangeRole),
		}, ", "))
	}
	return Change{Engine: e, Orders: []schedule.PlanOrder{order}}, nil
}

func modelRole(r fleet.EndpointRole) bool {
	return r == fleet.RolePrefill || r == fleet.RoleDecode || r == fleet.RoleBoth
}
