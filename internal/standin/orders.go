package standin

import (
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// serveOrder carries out one order at a time. An order ID that was done is
// answered again without being carried out.
func (s *Standin) serveOrder(w http.ResponseWriter, r *http.Request) {
	order, ok := take[engineapi.Order](w, r)
	if !ok {
		return
	}
	s.orders.Lock()
	defer s.orders.Unlock()
	if refused := s.takeToken(order); refused != nil {
		refuse(w, *refused)
		return
	}
	if !s.wasDone(order.ID) && takesTime(order.Kind) && !sleep.For(r.Context(), s.timing.LoadTime) {
		return
	}
	reply(w, s.apply(order))
}

func takesTime(kind engineapi.OrderKind) bool { return kind != engineapi.OrderUnload }

func (s *Standin) takeToken(o engineapi.Order) *refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Kind {
	case engineapi.OrderLoad, engineapi.OrderUnload, engineapi.OrderChangeRole:
	default:
		return &refusal{engineapi.CodeBadRequest, "unknown order"}
	}
	if s.options.ChecksTokens && o.Token < s.lastToken {
		return &refusal{engineapi.CodeOldToken, "fencing token is too low"}
	}
	s.lastToken = max(s.lastToken, o.Token)
	return nil
}

func (s *Standin) wasDone(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.doneOrder[id]
	return ok
}

// mostOrders bounds the order IDs that are remembered.
const mostOrders = 1024

func (s *Standin) apply(o engineapi.Order) engineapi.OrderReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, done := s.doneOrder[o.ID]; !done {
		s.change(o)
	}
	if len(s.doneOrder) >= mostOrders {
		clear(s.doneOrder)
	}
	s.doneOrder[o.ID] = struct{}{}
	return engineapi.OrderReply{Done: true, LastToken: s.lastToken}
}

func (s *Standin) change(o engineapi.Order) {
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
