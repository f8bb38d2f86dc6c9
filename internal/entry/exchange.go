package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// exchange is one caller's request and its answer.
type exchange struct {
	w       http.ResponseWriter
	r       *http.Request
	id      fleet.RequestID
	team    settings.Team
	arrived time.Time
	key     string
	control *http.ResponseController
	began   bool // headers are out
}

// handler serves one exchange of a known team; a failure that it returns is
// answered in the one error form.
type handler func(x *exchange) *route.Failure

const bearer = "Bearer "

// forTeam knows the team by its key and answers what the handler can't.
func (c *callers) forTeam(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{
			w: w, r: r, id: route.NewRequestID(), arrived: time.Now(),
			control: http.NewResponseController(w),
		}
		w.Header().Set(callerapi.HeaderRequestID, string(x.id))
		c.start.await(r.Context())
		failure := c.identify(x)
		if failure == nil {
			failure = h(x)
		}
		if failure != nil {
			c.fail(x, failure)
		}
	}
}

// identify fills in team and key.
func (c *callers) identify(x *exchange) *route.Failure {
	secret, ok := strings.CutPrefix(x.r.Header.Get(callerapi.HeaderAuthorise), bearer)
	if !ok {
		return unauthorised()
	}
	x.key = x.r.Header.Get(callerapi.HeaderKey)
	if len(x.key) > c.bounds.KeyBytes {
		return badRequest("the " + callerapi.HeaderKey + " header is too long")
	}
	team, ok := c.opts.TeamByKey(c.opts.Source.State().Tree, secret)
	if !ok {
		return c.unknownTeam(x)
	}
	x.team = team
	return nil
}

// unknownTeam refuses a key that no team has. An entry that can't confirm its settings
// doesn't know that.
func (c *callers) unknownTeam(x *exchange) *route.Failure {
	if !c.opts.Source.Current(time.Now()) {
		// It may be current by now, and refuses nothing.
		if failure := c.opts.Router.EarlyRefusal("", x.key); failure != nil {
			return failure
		}
	}
	return unauthorised()
}

func unauthorised() *route.Failure {
	return &route.Failure{
		Code:    callerapi.CodeUnauthorised,
		Message: "no team has this key",
		Outcome: callerapi.OutcomeNotRun,
	}
}

func badRequest(message string) *route.Failure {
	return &route.Failure{Code: callerapi.CodeBadRequest, Message: message, Outcome: callerapi.OutcomeNotRun}
}

func tooLarge() *route.Failure {
	return &route.Failure{
		Code:    callerapi.CodeTooLarge,
		Message: "the body is over the limit",
		Outcome: callerapi.OutcomeNotRun,
	}
}

// body reads the whole body, unless the request is refused whatever it is.
//
// When a part stays unread the connection is closed after the answer: the HTTP
// server would else wait for the rest before it sends the refusal, so that a
// caller with a slow or endless body gets its refusal late or never.
func (c *callers) body(x *exchange) ([]byte, *route.Failure) {
	body, failure := c.readBody(x)
	if failure != nil {
		x.w.Header().Set("Connection", "close")
	}
	return body, failure
}

// readBody reads within the team's bound and the body time.
func (c *callers) readBody(x *exchange) ([]byte, *route.Failure) {
	if failure := c.opts.Router.EarlyRefusal(x.team.Name, x.key); failure != nil {
		return nil, failure
	}
	limit := c.bounds.BodyBytes
	if own := int64(x.team.Limits.BodyBytes); own > 0 {
		limit = own
	}
	if x.r.ContentLength > limit {
		return nil, tooLarge()
	}
	// Recorders in tests have no deadline.
	_ = x.control.SetReadDeadline(time.Now().Add(c.bounds.BodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = x.control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return nil, tooLarge()
	}
	return nil, badRequest("the body could not be read")
}

// patience reads the caller's own deadline; 0: none given.
func (x *exchange) patience() (time.Duration, *route.Failure) {
	text := x.r.Header.Get(callerapi.HeaderDeadline)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, badRequest("the " + callerapi.HeaderDeadline + " header is not a positive number of milliseconds")
	}
	return time.Duration(ms) * time.Millisecond, nil
}
