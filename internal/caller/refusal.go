package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Refusal is an entry's error answer.
type Refusal struct {
	Status int // HTTP status code
	Detail callerapi.Error
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s, outcome %s, status %d)", r.Detail.Message, r.Detail.Code, r.Detail.Outcome, r.Status)
}

// readRefusal decodes an error answer. If the body isn't an ErrorBody, only the status is
// kept.
func readRefusal(response *http.Response) *Refusal {
	refusal := &Refusal{Status: response.StatusCode}
	var body callerapi.ErrorBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&body); err != nil {
		refusal.Detail.Message = "the answer has no readable error"
		return refusal
	}
	refusal.Detail = body.Error
	return refusal
}
