package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// statusByCode has the HTTP status of each error code; other codes get 503.
var statusByCode = map[callerapi.Code]int{
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
	if status, ok := statusByCode[f.Code]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// servableByOtherEntry reports whether another entry may accept a request that
// this one refused with code.
func servableByOtherEntry(code callerapi.Code) bool {
	switch code {
	case callerapi.CodeNotCurrent, callerapi.CodeDraining, callerapi.CodeNoPermittedZone, callerapi.CodeOverloaded:
		return true
	}
	return false
}

// errorBody returns the JSON body for f.
func (c *callerHandler) errorBody(x *exchange, f *route.Failure) callerapi.ErrorBody {
	e := callerapi.Error{
		Code:         f.Code,
		Message:      f.Message,
		Outcome:      f.Outcome,
		RetryAfterMs: ceilUnits(f.RetryAfter, time.Millisecond),
		RequestID:    string(x.id),
	}
	if servableByOtherEntry(f.Code) {
		e.Addresses = c.otherAddresses(x.team)
	}
	return callerapi.ErrorBody{Error: e}
}

// ceilUnits returns d in whole units, rounded up so that a caller never retries
// too early. A negative d counts as 0.
func ceilUnits(d, unit time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + unit - 1) / unit)
}

// writeFailure counts f and answers with it unless headers have been sent.
func (c *callerHandler) writeFailure(x *exchange, f *route.Failure) {
	c.metrics.countFailure(f)
	if x.headersSent {
		return
	}
	x.headersSent = true
	body, err := json.Marshal(c.errorBody(x, f))
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	h := x.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(callerapi.HeaderOutcome, string(f.Outcome))
	if f.RetryAfter > 0 {
		h.Set(callerapi.HeaderRetryAfter, strconv.FormatInt(ceilUnits(f.RetryAfter, time.Second), 10))
	}
	x.w.WriteHeader(statusOf(f))
	_, _ = x.w.Write(body) // the caller may have disconnected
}

func (c *callerHandler) notFound(w http.ResponseWriter, r *http.Request) {
	c.writeFailureWithoutTeam(w, r, callerapi.CodeNotFound, "there is nothing at this path")
}

func (c *callerHandler) wrongMethod(w http.ResponseWriter, r *http.Request) {
	c.writeFailureWithoutTeam(w, r, callerapi.CodeMethodRefused, "this path does not take the method")
}

func (c *callerHandler) writeFailureWithoutTeam(w http.ResponseWriter, r *http.Request, code callerapi.Code, message string) {
	x := &exchange{w: w, r: r, id: route.NewRequestID()}
	w.Header().Set(callerapi.HeaderRequestID, string(x.id))
	c.writeFailure(x, &route.Failure{Code: code, Message: message, Outcome: callerapi.OutcomeNotRun})
}

// recoverPanics answers when a handler panics. Whether the request had reached an
// endpoint is no longer known, so the outcome is unknown. If part of the answer
// was sent, the connection is aborted: a normal end would look complete.
func (c *callerHandler) recoverPanics(next http.Handler) http.Handler {
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
			c.writeFailure(x, &route.Failure{
				Code:    callerapi.CodeInternal,
				Message: "the entry failed while it held the request",
				Outcome: callerapi.OutcomeUnknown,
			})
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackedWriter records whether any part of the answer has been written.
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

// Unwrap returns the wrapped writer for http.ResponseController.
func (t *trackedWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
