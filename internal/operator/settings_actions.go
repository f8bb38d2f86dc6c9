package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// maxChangeIDBytes limits the length of a change ID, which is stored with each version.
const maxChangeIDBytes = 128

func (h *handler) change(w http.ResponseWriter, r *http.Request, sender identity) error {
	var request pb.ChangeRequest
	if err := readBody(w, r, &request); err != nil {
		return err
	}
	change := request.GetChange()
	if id := change.GetChangeId(); id == "" || len(id) > maxChangeIDBytes {
		return trace.BadParameter("change_id must have 1 to %d bytes: it makes sending the change again safe", maxChangeIDBytes)
	}
	if err := sender.checkChange(change.GetName(), change.GetExpectedVersion()); err != nil {
		return err
	}
	if request.WaitInForceMs > uint64(MaxWaitInForce/time.Millisecond) {
		return trace.BadParameter("wait_in_force_ms is over %v", MaxWaitInForce)
	}
	// The author comes from the key; whatever the client sent is overwritten.
	change.Author = sender.operator.Name
	change.ProposedUnixMs = h.options.Now().UnixMilli()
	reply, err := h.options.Control.Change(r.Context(), &request)
	if err != nil {
		return trace.Wrap(err)
	}
	if reply.GetResult() == nil {
		return trace.ConnectionProblem(nil, "the control group has no leader now; send the change again")
	}
	h.options.Log.Info("Settings change answered.", "subtree", change.Name, "author", change.Author,
		"change", change.ChangeId, "status", reply.Result.Status, "version", reply.Result.Version)
	h.writeMessage(w, httpStatus(reply.Result.Status), reply)
	return nil
}

func httpStatus(status pb.ChangeStatus) int {
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

func (h *handler) getSettings(w http.ResponseWriter, r *http.Request, sender identity) error {
	query := r.URL.Query()
	request := &pb.GetSettingsRequest{Name: query.Get("name"), History: query.Get("history") == "true"}
	if text := query.Get("version"); text != "" {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return trace.BadParameter("version %q is not a number", text)
		}
		request.Version = version
	}
	if request.Name != "" && !sender.bootstrap {
		if err := sender.checkScope(request.Name); err != nil {
			return err
		}
	}
	reply, err := h.options.Control.GetSettings(r.Context(), request)
	if err != nil {
		return trace.Wrap(err)
	}
	reply.Documents = sender.filterVisible(reply.Documents)
	h.writeMessage(w, http.StatusOK, reply)
	return nil
}

// filterVisible returns the documents within the sender's scope. That is none for the
// fleet's secret: before the fleet subtree exists there are no documents.
func (i identity) filterVisible(documents []*pb.SubtreeDocument) []*pb.SubtreeDocument {
	var kept []*pb.SubtreeDocument
	for _, document := range documents {
		if i.checkScope(document.GetName()) == nil {
			kept = append(kept, document)
		}
	}
	return kept
}
