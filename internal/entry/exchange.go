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

// exchange is one caller's request and its answer. key is the idempotency key.
type exchange struct {
	w           http.ResponseWriter
	r           *http.Request
	id          fleet.RequestID
	team        settings.Team
	arrived     time.Time
	key         string
	control     *http.ResponseController
	headersSent bool // the answer has begun: no error can be sent in its place
}

// exchangeFunc serves one exchange of an identified team. A failure that it returns
// is answered with an ErrorBody.
type exchangeFunc func(x *exchange) *route.Failure

const bearer = "Bearer "

// forTeam wraps h: it identifies the team by its key and answers any failure.
func (c *callerHandler) forTeam(h exchangeFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{
			w: w, r: r, id: route.NewRequestID(), arrived: time.Now(),
			control: http.NewResponseController(w),
		}
		w.Header().Set(callerapi.HeaderRequestID, string(x.id))
		c.startup.await(r.Context())
		failure := c.identify(x)
		if failure == nil {
			failure = h(x)
		}
		if failure != nil {
			c.writeFailure(x, failure)
		}
	}
}

// identify sets x.team from the caller's credentials and x.key from the
// idempotency key.
func (c *callerHandler) identify(x *exchange) *route.Failure {
	secret, ok := strings.CutPrefix(x.r.Header.Get(callerapi.HeaderAuthorization), bearer)
	if !ok {
		return unauthorised()
	}
	x.key = x.r.Header.Get(callerapi.HeaderIdempotencyKey)
	if len(x.key) > c.bounds.MaxKeyBytes {
		return badRequest("the " + callerapi.HeaderIdempotencyKey + " header is too long")
	}
	team, ok := c.opts.TeamByKey(c.opts.Source.State().Tree, secret)
	if !ok {
		return c.unknownTeam(x)
	}
	x.team = team
	return nil
}

// unknownTeam refuses a key that no team of the local settings has. While the settings
// can't be confirmed to be current, a team may have it, so the refusal is the router's.
func (c *callerHandler) unknownTeam(x *exchange) *route.Failure {
	if !c.opts.Source.Current(time.Now()) {
		// EarlyRefusal returns nil if the settings have become current since the check above.
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

// body reads the whole body, unless the request is refused whatever its body.
//
// After a failure the connection is closed. Otherwise the HTTP server would wait
// for the unread rest before it sends the refusal, and a caller with a slow or
// endless body would get the refusal late or never.
func (c *callerHandler) body(x *exchange) ([]byte, *route.Failure) {
	body, failure := c.readBody(x)
	if failure != nil {
		x.w.Header().Set("Connection", "close")
	}
	return body, failure
}

// readBody reads the body within the team's size limit and Bounds.BodyReadTimeout.
func (c *callerHandler) readBody(x *exchange) ([]byte, *route.Failure) {
	if failure := c.opts.Router.EarlyRefusal(x.team.Name, x.key); failure != nil {
		return nil, failure
	}
	limit := c.bounds.MaxBodyBytes
	if own := int64(x.team.Limits.BodyBytes); own > 0 {
		limit = own
	}
	if x.r.ContentLength > limit {
		return nil, tooLarge()
	}
	// Response recorders in tests don't support deadlines.
	_ = x.control.SetReadDeadline(time.Now().Add(c.bounds.BodyReadTimeout))
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

// timeout returns the time limit that the caller set in HeaderDeadline; 0: none.
func (x *exchange) timeout() (time.Duration, *route.Failure) {
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
