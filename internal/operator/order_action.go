package operator

import (
	"net/http"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// order gives an endpoint an order: all teams share the endpoints, so that it
// takes the fleet's scope.
func (h *handler) order(w http.ResponseWriter, r *http.Request, who identity) error {
	var request pb.OrderEndpointRequest
	if err := who.readForFleet(w, r, &request); err != nil {
		return err
	}
	if request.GetEndpointId() == "" {
		return trace.BadParameter("endpoint_id is missing")
	}
	reply, err := h.options.Order(r.Context(), &request, who.operator.Name)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Order asked.", "endpoint", request.GetEndpointId(), "kind", request.GetKind(),
		"order", request.GetOrderId(), "author", who.operator.Name, "outcome", reply.GetOutcome())
	h.message(w, http.StatusOK, reply)
	return nil
}
