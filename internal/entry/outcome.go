package entry

import (
	"net/url"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// outcome answers GET /v1/requests/{key}.
func (c *callerHandler) outcome(x *exchange) *route.Failure {
	key, err := url.PathUnescape(chi.URLParam(x.r, "key"))
	if err != nil || key == "" || len(key) > c.bounds.MaxKeyBytes {
		return badRequest("the key is malformed")
	}
	known, failure := c.opts.Router.LookupKey(x.r.Context(), x.team.Name, key)
	if failure != nil {
		return failure
	}
	if !known.Found {
		// The outcome is unknown: a request with this key may still be running.
		return &route.Failure{
			Code: callerapi.CodeNotFound, Message: "nothing is recorded for this key",
			Outcome: callerapi.OutcomeUnknown,
		}
	}
	x.w.Header().Set(callerapi.HeaderOutcome, string(known.Outcome))
	return x.writeJSON(callerapi.RequestReply{
		Outcome:    known.Outcome,
		StatusCode: known.StatusCode,
		AgeMs:      known.Age.Milliseconds(),
	})
}
