package standin

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// maxBodyBytes limits a request's body.
const maxBodyBytes = 16 << 20

// refusal is the reason for which a request is refused.
type refusal struct {
	code    engineapi.Code
	message string
}

func (r refusal) status() int {
	switch r.code {
	case engineapi.CodeStale, engineapi.CodeOldToken, engineapi.CodeWrongRole:
		return http.StatusConflict
	case engineapi.CodeFull, engineapi.CodeLeaving:
		return http.StatusServiceUnavailable
	case engineapi.CodeNoModel:
		return http.StatusNotFound
	case engineapi.CodeGone:
		return http.StatusGone
	case engineapi.CodeTransfer:
		return http.StatusBadGateway
	}
	return http.StatusBadRequest
}

func refuse(w http.ResponseWriter, r refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.status())
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(engineapi.ErrorReply{Code: r.code, Message: r.message})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// decodeBody decodes a request's JSON body. If it fails, it refuses the request and
// returns false.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (value T, ok bool) {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&value)
	if err != nil {
		refuse(w, refusal{engineapi.CodeBadRequest, err.Error()})
		return value, false
	}
	return value, true
}

func contains(text, marker string) bool { return strings.Contains(text, marker) }
