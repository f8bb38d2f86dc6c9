package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

const contentType = "application/json"

// maxBody bounds a request's body, bytes: the largest subtree in base64, with
// room for the rest of a change.
const maxBody = 2 << 20

func (h *handler) message(w http.ResponseWriter, status int, message proto.Message) {
	data, err := marshal.Marshal(message)
	if err != nil {
		h.refuse(w, trace.Wrap(err))
		return
	}
	write(w, status, data)
}

func (h *handler) json(w http.ResponseWriter, value json.Marshaler) {
	data, err := value.MarshalJSON()
	if err != nil {
		h.refuse(w, trace.Wrap(err))
		return
	}
	write(w, http.StatusOK, data)
}

func write(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A client that is gone can't be told.
	_, _ = w.Write(data)
}

// refuse answers with the status that fits err.
func (h *handler) refuse(w http.ResponseWriter, err error) {
	status, code := classify(err)
	if status >= http.StatusInternalServerError {
		h.options.Log.Warn("Request failed.", "code", code, "err", trace.UserMessage(err))
	}
	data, marshalErr := json.Marshal(ErrorReply{ErrorDetail{Code: code, Message: trace.UserMessage(err)}})
	if marshalErr != nil {
		panic(marshalErr) // two strings always marshal
	}
	write(w, status, data)
}

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

// read decodes a bounded body.
func read(w http.ResponseWriter, r *http.Request, into proto.Message) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := unmarshal.Unmarshal(data, into); err != nil {
		return trace.BadParameter("body is not the message that this path takes: %v", err)
	}
	return nil
}
