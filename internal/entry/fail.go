package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// statuses of the codes; a code not named here answers 503.
var statuses = map[callerapi.Code]int{
	callerapi.CodeUnauthorised:  http.StatusUnauthorized,
	callerapi.CodeBadRequest:    http.StatusBadRequest,
	callerapi.CodeTooLarge:      http.StatusRequestEntityTooLarge,
	callerapi.CodeNoModel:       http.StatusNotFound,
	callerapi.CodeNoService:     http.StatusNotFound,
	callerapi.CodeNotFound:      http.StatusNotFound,
	callerapi.CodeMethodRefused: http.StatusMethodNotAllowed,
	callerapi.CodeOverloaded:    http.StatusServiceUnavailable,
	callerapi.CodeLimit:         http.StatusTooManyRequests,
	callerapi.CodeQuarantined:   http.StatusUnprocessableEntity,
	callerapi.CodeInFlight:      http.StatusConflict,
	callerapi.CodeRecorded:      http.StatusConflict,
	callerapi.CodeKeyReused:     http.StatusUnprocessableEntity,
	callerapi.CodeUnknown:       http.StatusBadGateway,
	callerapi.CodeEngineFailed:  http.StatusBadGateway,
	callerapi.CodeDeadline:      http.StatusGatewayTimeout,
	callerapi.CodeInternal:      http.StatusInternalServerError,
}

func statusOf(f *route.Failure) int {
	if f.Code == callerapi.CodeUnknown && f.TimedOut {
		return http.StatusGatewayTimeout
	}
	if status, ok := statuses[f.Code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// elsewhere tells whether another entry may serve what this one refused.
func elsewhere(code callerapi.Code) bool {
	switch code {
	case callerapi.CodeNotCurrent, callerapi.CodeDraining, callerapi.CodeNoZone, callerapi.CodeOverloaded:
		return true
	}
	return false
}

// errorBody is the one form of f.
func (c *callers) errorBody(x *exchange, f *route.Failure) callerapi.ErrorBody {
	e := callerapi.Error{
		Code:         f.Code,
		Message:      f.Message,
		Outcome:      f.Outcome,
		RetryAfterMs: ceil(f.RetryAfter, time.Millisecond),
		RequestID:    string(x.id),
	}
	if elsewhere(f.Code) {
		e.Addresses = c.otherAddresses(x.team)
	}
	return callerapi.ErrorBody{Error: e}
}

// ceil gives d in whole units, rounded up: a caller never comes back early.
func ceil(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + unit - 1) / unit)
}

// fail answers f, if nothing of an answer is out yet.
func (c *callers) fail(x *exchange, f *route.Failure) {
	c.metrics.answered(f)
	if x.began {
		return
	}
	x.began = true
	body, err := json.Marshal(c.errorBody(x, f))
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(callerapi.HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set(callerapi.HeaderRetryAfter, strconv.FormatInt(ceil(f.RetryAfter, time.Second), 10))
	}
	x.w.WriteHeader(statusOf(f))
	_, _ = x.w.Write(body) // a caller that is gone can't be told
}

func (c *callers) notFound(w http.ResponseWriter, r *http.Request) {
	c.plainFail(w, r, callerapi.CodeNotFound, "there is nothing at this path")
}

func (c *callers) wrongMethod(w http.ResponseWriter, r *http.Request) {
	c.plainFail(w, r, callerapi.CodeMethodRefused, "this path does not take the method")
}

func (c *callers) plainFail(w http.ResponseWriter, r *http.Request, code callerapi.Code, message string) {
	x := &exchange{w: w, r: r, id: route.NewRequestID()}
	w.Header().Set(callerapi.HeaderRequestID, string(x.id))
	c.fail(x, &route.Failure{Code: code, Message: message, Outcome: callerapi.OutcomeNotRun})
}

// recovered answers a panic in a handler. Whether the request had reached an
// endpoint isn't known any more, so nothing is promised. When a part of the
// answer is out the connection is cut: an ordinary end would look whole.
func (c *callers) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackedWriter{ResponseWriter: w}
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause == http.ErrAbortHandler || tracked.wrote {
				panic(http.ErrAbortHandler)
			}
			c.opts.Part.Error("a handler panicked", "path", r.URL.Path)
			x := &exchange{w: w, r: r, id: route.NewRequestID()}
			c.fail(x, &route.Failure{
				Code:    callerapi.CodeInternal,
				Message: "the entry failed while it held the request",
				Outcome: callerapi.OutcomeUnknown,
			})
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackedWriter notes whether anything of an answer is out.
type trackedWriter struct {
	http.ResponseWriter
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (t *trackedWriter) WriteHeader(status int) {
	t.wrote = true
	t.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (t *trackedWriter) Write(b []byte) (int, error) {
	t.wrote = true
	return t.ResponseWriter.Write(b)
}

// Unwrap serves http.ResponseController.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
