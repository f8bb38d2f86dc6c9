package standin

import (
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// serveOrder executes one order at a time. A repeated order is answered without
// being executed again; orders are identified by ID.
func (s *Standin) serveOrder(w http.ResponseWriter, r *http.Request) {
	order, ok := decodeBody[engineapi.Order](w, r)
	if !ok {
		return
	}
	s.orders.Lock()
	defer s.orders.Unlock()
	if refused := s.acceptToken(order); refused != nil {
		refuse(w, *refused)
		return
	}
	if !s.isDone(order.ID) && takesTime(order.Kind) && !sleep.For(r.Context(), s.timing.ModelLoadTime) {
		return
	}
	reply(w, s.apply(order))
}

func takesTime(kind engineapi.OrderKind) bool { return kind != engineapi.OrderUnload }

func (s *Standin) acceptToken(o engineapi.Order) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Kind {
	case engineapi.OrderLoad, engineapi.OrderUnload, engineapi.OrderChangeRole:
	default:
		return &refusal{engineapi.CodeBadRequest, "unknown order"}
	}
	if s.options.ChecksFencingTokens && o.FencingToken < s.lastToken {
		return &refusal{engineapi.CodeOldToken, "fencing token is too low"}
	}
	s.lastToken = max(s.lastToken, o.FencingToken)
	return nil
}

func (s *Standin) isDone(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.doneOrders[id]
	return ok
}

// maxRememberedOrders is the number of order IDs at which the memory of executed
// orders is cleared.
const maxRememberedOrders = 1024

func (s *Standin) apply(o engineapi.Order) engineapi.OrderReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, done := s.doneOrders[o.ID]; !done {
		s.applyChange(o)
	}
	if len(s.doneOrders) >= maxRememberedOrders {
		clear(s.doneOrders)
	}
	s.doneOrders[o.ID] = struct{}{}
	return engineapi.OrderReply{Done: true, LastFencingToken: s.lastToken}
}

func (s *Standin) applyChange(o engineapi.Order) {
	s.recorder.audit.Orders++
	switch o.Kind {
	case engineapi.OrderLoad:
		s.models[o.Model] = struct{}{}
	case engineapi.OrderUnload:
		delete(s.models, o.Model)
	case engineapi.OrderChangeRole:
		s.role = o.Role
	}
}
