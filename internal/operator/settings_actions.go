package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// maxChangeID bounds a change ID, bytes; it is kept with each version.
const maxChangeID = 128

func (h *handler) change(w http.ResponseWriter, r *http.Request, who identity) error {
	var request pb.ChangeRequest
	if err := read(w, r, &request); err != nil {
		return err
	}
	change := request.GetChange()
	if id := change.GetChangeId(); id == "" || len(id) > maxChangeID {
		return trace.BadParameter("change_id must have 1 to %d bytes: it makes sending the change again safe", maxChangeID)
	}
	if err := who.mayChange(change.GetName(), change.GetExpectedVersion()); err != nil {
		return err
	}
	if request.WaitInForceMs > uint64(MaxWait/time.Millisecond) {
		return trace.BadParameter("wait_in_force_ms is over %v", MaxWait)
	}
	// Who changed what is never the client's own claim.
	change.Author = who.operator.Name
	change.ProposedUnixMs = h.options.Now().UnixMilli()
	reply, err := h.options.Control.Change(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	if reply.GetResult() == nil {
		return trace.ConnectionProblem(nil, "the control group has no leader now; send the change again")
	}
	h.options.Log.Info("Change answered.", "subtree", change.Name, "author", change.Author,
		"change", change.ChangeId, "status", reply.Result.Status, "version", reply.Result.Version)
	h.message(w, statusOf(reply.Result.Status), reply)
	return nil
}

func statusOf(status pb.ChangeStatus) int {
	switch status {
	case pb.ChangeStatus_CHANGE_STATUS_ACCEPTED:
		return http.StatusOK
	case pb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		return http.StatusConflict
	case pb.ChangeStatus_CHANGE_STATUS_INVALID:
		return http.StatusUnprocessableEntity
	}
	return http.StatusInternalServerError
}

func (h *handler) getSettings(w http.ResponseWriter, r *http.Request, who identity) error {
	query := r.URL.Query()
	request := &pb.GetSettingsRequest{Name: query.Get("name"), History: query.Get("history") == "true"}
	if text := query.Get("version"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return trace.BadParameter("version %q is not a number", text)
		}
		request.Version = version
	}
	if request.Name != "" && !who.bootstrap {
		if err := who.covers(request.Name); err != nil {
			return err
		}
	}
	reply, err := h.options.Control.GetSettings(r.Context(), request)
	if err != nil {
		return trace.Wrap(err)
	}
	reply.Documents = who.visible(reply.Documents)
	h.message(w, http.StatusOK, reply)
	return nil
}

// visible leaves out what is beyond the sender's scope. The fleet's secret
// sees nothing: before the fleet subtree exists there is nothing to see.
func (i identity) visible(documents []*pb.SubtreeDocument) []*pb.SubtreeDocument {
	var kept []*pb.SubtreeDocument
	for _, document := range documents {
		if i.covers(document.GetName()) == nil {
			kept = append(kept, document)
		}
	}
	return kept
}
