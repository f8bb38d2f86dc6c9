package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

const (
	answerGrace  = time.Second      // a caller's wait beyond its patience
	stallTimeout = 20 * time.Second // a stream without an event so long is cut
	maxAnswer    = 16 << 20
)

// sender sends one request once and judges what comes back.
type sender struct {
	client *http.Client
	expect func(prompt string, maxTokens int) string
}

// errImpatient ends a request whose caller waits no longer.
var errImpatient = errors.New("no first token within the patience")

// errLeft ends a request whose caller goes away by plan.
var errLeft = errors.New("caller went away")

// send makes one exchange with the entry at address.
func (s *sender) send(ctx context.Context, j *job, address string) answer {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(time.Until(j.intended.Add(j.stream.Patience+answerGrace)), func() { cancel(errImpatient) })
	defer patience.Stop()
	if j.cancelAt > 0 {
		leave := time.AfterFunc(time.Until(j.intended.Add(j.cancelAt)), func() { cancel(errLeft) })
		defer leave.Stop()
	}
	request, err := s.request(ctx, j, address)
	if err != nil {
		return answer{verdict: VerdictFailed, detail: err.Error()}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return noAnswer(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return refusal(ctx, response)
	}
	if j.stream.Model == "" {
		return s.readCall(ctx, j, response)
	}
	return s.readStream(ctx, j, response, patience)
}

func (s *sender) request(ctx context.Context, j *job, address string) (*http.Request, error) {
	method, path, body := j.stream.Method, "/v1/services/"+j.stream.Service+j.stream.Path, []byte(j.body)
	if j.stream.Direct {
		path = "/call" + j.stream.Path
	}
	if j.stream.Model != "" {
		method, path = http.MethodPost, "/v1/completions"
		encoded, err := json.Marshal(callerapi.CompletionRequest{
			Model: j.stream.Model, Prompt: j.prompt, MaxTokens: j.maxTokens, Stream: true,
		})
		if err != nil {
			return nil, err
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	setHeaders(request.Header, j)
	// A key would let the transport send the request again by itself.
	request.GetBody = nil
	return request, nil
}

func setHeaders(h http.Header, j *job) {
	h.Set(callerapi.HeaderAuthorise, "Bearer "+j.stream.Key)
	h.Set("Content-Type", "application/json")
	left := time.Until(j.intended.Add(j.stream.Patience))
	h.Set(callerapi.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if j.stream.CallerKind != "" {
		h.Set(callerapi.HeaderCallerKind, j.stream.CallerKind)
	}
	if j.key != "" {
		h.Set(callerapi.HeaderKey, j.key)
	}
	if j.stream.NotIdempotent {
		h.Set(callerapi.HeaderIdempotent, "false")
	}
}

// noAnswer judges an exchange that brought no response.
func noAnswer(ctx context.Context, err error) answer {
	switch context.Cause(ctx) {
	case errImpatient:
		return answer{verdict: VerdictAbandoned}
	case errLeft:
		return answer{verdict: VerdictCancelled}
	}
	a := answer{verdict: VerdictLost, detail: err.Error()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.detail = "connection refused"
	}
	return a
}

// refusal judges an error answer.
func refusal(ctx context.Context, response *http.Response) answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return noAnswer(ctx, err)
	}
	var failure callerapi.ErrorBody
	if json.Unmarshal(body, &failure) != nil || failure.Error.Code == "" {
		a := byOutcome(callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome)))
		a.detail = response.Status
		return a
	}
	return fromError(failure.Error)
}

func fromError(e callerapi.Error) answer {
	a := byOutcome(e.Outcome)
	a.code = e.Code
	a.detail = e.Message
	a.retryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	return a
}

func byOutcome(o callerapi.Outcome) answer {
	a := answer{outcome: o, verdict: VerdictFailed}
	switch o {
	case callerapi.OutcomeNotRun:
		a.verdict = VerdictRefused
	case callerapi.OutcomeUnknown, callerapi.OutcomeInFlight:
		a.verdict = VerdictUnknown
	}
	return a
}

// callEcho is the part of a plain service's answer that names the request.
type callEcho struct {
	Marker string `json:"marker"`
	Bytes  int    `json:"bytes"`
}

// readCall judges the answer of a plain service, which names the request's
// marker and length.
func (s *sender) readCall(ctx context.Context, j *job, response *http.Response) answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return noAnswer(ctx, err)
	}
	a := answer{verdict: VerdictGood, outcome: callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome))}
	a.firstToken = time.Since(j.intended)
	a.whole = a.firstToken
	var echo callEcho
	if json.Unmarshal(body, &echo) != nil || echo.Marker != j.marker || echo.Bytes != len(j.body) {
		a.verdict, a.detail = VerdictWrong, "the answer is another request's"
		return a
	}
	if a.whole > j.stream.Targets.FirstToken {
		a.verdict = VerdictLate
	}
	return a
}
