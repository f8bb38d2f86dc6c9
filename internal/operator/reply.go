package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

const contentType = "application/json"

// maxBodyBytes limits a request's body: the largest subtree in base64, and room for the
// other fields of a change.
const maxBodyBytes = 2 << 20

// bodyTimeout bounds the arrival of a request's body; it lets one of maxBodyBytes pass at 4 Mbit/s.
const bodyTimeout = 5 * time.Second

func (h *handler) writeMessage(w http.ResponseWriter, status int, message proto.Message) {
	data, err := marshal.Marshal(message)
	if err != nil {
		h.writeError(w, trace.Wrap(err))
		return
	}
	writeBody(w, status, data)
}

func (h *handler) writeJSON(w http.ResponseWriter, value json.Marshaler) {
	data, err := value.MarshalJSON()
	if err != nil {
		h.writeError(w, trace.Wrap(err))
		return
	}
	writeBody(w, http.StatusOK, data)
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write can't be reported to the client.
	_, _ = w.Write(data)
}

// writeError sends err as an ErrorReply with the status code that classify returns, and
// logs server errors.
func (h *handler) writeError(w http.ResponseWriter, err error) {
	status, code := classify(err)
	if status >= http.StatusInternalServerError {
		h.options.Log.Warn("Request failed.", "code", code, "err", trace.UserMessage(err))
	}
	data, marshalErr := json.Marshal(ErrorReply{ErrorDetail{Code: code, Message: trace.UserMessage(err)}})
	if marshalErr != nil {
		panic(marshalErr) // marshalling two strings can't fail
	}
	writeBody(w, status, data)
}

// classify returns the HTTP status and the error code for err.
func classify(err error) (status int, code Code) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, CodeTooLarge
	case errors.Is(err, errUnauthorised):
		return http.StatusUnauthorized, CodeUnauthorised
	case errors.Is(err, errNotCurrent):
		return http.StatusServiceUnavailable, CodeNotCurrent
	case trace.IsAccessDenied(err):
		return http.StatusForbidden, CodeForbidden
	case trace.IsBadParameter(err):
		return http.StatusBadRequest, CodeBadRequest
	case trace.IsNotFound(err):
		return http.StatusNotFound, CodeNotFound
	case trace.IsAlreadyExists(err):
		return http.StatusPreconditionFailed, CodeExists
	case trace.IsConnectionProblem(err), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return http.StatusServiceUnavailable, CodeUnavailable
	}
	return http.StatusInternalServerError, CodeInternal
}

// readBody decodes a request's body of at most maxBodyBytes. After an error, the deadline stays:
// the rest of the body may never arrive.
func readBody(w http.ResponseWriter, r *http.Request, into proto.Message) error {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // only writers of tests know no deadlines
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return trace.Wrap(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	if err := unmarshal.Unmarshal(data, into); err != nil {
		return trace.BadParameter("body is not the message that this path takes: %v", err)
	}
	return nil
}
