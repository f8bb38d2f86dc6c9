package operator

import (
	"net/http"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// order sends an order to an endpoint. It requires the fleet's scope, as all teams share
// the endpoints.
func (h *handler) order(w http.ResponseWriter, r *http.Request, sender identity) error {
	var request pb.OrderEndpointRequest
	if err := sender.readFleetRequest(w, r, &request); err != nil {
		return err
	}
	if request.GetEndpointId() == "" {
		return trace.BadParameter("endpoint_id is missing")
	}
	reply, err := h.options.Order(r.Context(), &request, sender.operator.Name)
	if err != nil {
		return trace.Wrap(err)
	}
	h.options.Log.Info("Order sent.", "endpoint", request.GetEndpointId(), "kind", request.GetKind(),
		"order", request.GetOrderId(), "author", sender.operator.Name, "outcome", reply.GetOutcome())
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}
