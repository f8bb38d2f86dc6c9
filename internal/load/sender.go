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
	patienceGrace    = time.Second      // how long a caller waits beyond its patience
	stallTimeout     = 20 * time.Second // maximum time between two events of a stream
	maxResponseBytes = 16 << 20
)

// sender sends a request once and judges the response.
type sender struct {
	client *http.Client
	expect func(prompt string, maxTokens int) string
}

// errPatienceExceeded is the cause when a request's patience has run out.
var errPatienceExceeded = errors.New("no first token within the patience")

// errCallerCancelled is the cause when a request is cancelled as planned.
var errCallerCancelled = errors.New("caller went away")

// send sends the request to the entry at address and judges the response.
func (s *sender) send(ctx context.Context, j *job, address string) requestResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := time.AfterFunc(time.Until(j.intended.Add(j.stream.Patience+patienceGrace)), func() { cancel(errPatienceExceeded) })
	defer patience.Stop()
	if j.cancelAfter > 0 {
		leave := time.AfterFunc(time.Until(j.intended.Add(j.cancelAfter)), func() { cancel(errCallerCancelled) })
		defer leave.Stop()
	}
	request, err := s.request(ctx, j, address)
	if err != nil {
		return requestResult{verdict: VerdictFailed, detail: err.Error()}
	}
	response, err := s.client.Do(request)
	if err != nil {
		return judgeTransportError(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return judgeErrorResponse(ctx, response)
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
	// With GetBody set, the transport would retry a request that has a key by itself.
	request.GetBody = nil
	return request, nil
}

func setHeaders(h http.Header, j *job) {
	h.Set(callerapi.HeaderAuthorization, "Bearer "+j.stream.Key)
	h.Set("Content-Type", "application/json")
	left := time.Until(j.intended.Add(j.stream.Patience))
	h.Set(callerapi.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if j.stream.CallerKind != "" {
		h.Set(callerapi.HeaderCallerKind, j.stream.CallerKind)
	}
	if j.key != "" {
		h.Set(callerapi.HeaderIdempotencyKey, j.key)
	}
	if j.stream.NotIdempotent {
		h.Set(callerapi.HeaderIdempotent, "false")
	}
}

// judgeTransportError judges a request that failed with err.
func judgeTransportError(ctx context.Context, err error) requestResult {
	switch context.Cause(ctx) {
	case errPatienceExceeded:
		return requestResult{verdict: VerdictAbandoned}
	case errCallerCancelled:
		return requestResult{verdict: VerdictCancelled}
	}
	a := requestResult{verdict: VerdictLost, detail: err.Error()}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.detail = "connection refused"
	}
	return a
}

// judgeErrorResponse judges a response with an error status.
func judgeErrorResponse(ctx context.Context, response *http.Response) requestResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return judgeTransportError(ctx, err)
	}
	var failure callerapi.ErrorBody
	if json.Unmarshal(body, &failure) != nil || failure.Error.Code == "" {
		a := resultOfOutcome(callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome)))
		a.detail = response.Status
		return a
	}
	return resultOfError(failure.Error)
}

func resultOfError(e callerapi.Error) requestResult {
	a := resultOfOutcome(e.Outcome)
	a.code = e.Code
	a.detail = e.Message
	a.retryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	return a
}

func resultOfOutcome(o callerapi.Outcome) requestResult {
	a := requestResult{outcome: o, verdict: VerdictFailed}
	switch o {
	case callerapi.OutcomeNotRun:
		a.verdict = VerdictRefused
	case callerapi.OutcomeUnknown, callerapi.OutcomeInFlight:
		a.verdict = VerdictUnknown
	}
	return a
}

// callEcho is the part of a plain service's response that identifies the request.
type callEcho struct {
	Marker string `json:"marker"`
	Bytes  int    `json:"bytes"`
}

// readCall judges the response of a plain service, which contains the request's
// marker and length.
func (s *sender) readCall(ctx context.Context, j *job, response *http.Response) requestResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return judgeTransportError(ctx, err)
	}
	a := requestResult{verdict: VerdictGood, outcome: callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome))}
	a.firstTokenLatency = time.Since(j.intended)
	a.totalLatency = a.firstTokenLatency
	var echo callEcho
	if json.Unmarshal(body, &echo) != nil || echo.Marker != j.marker || echo.Bytes != len(j.body) {
		a.verdict, a.detail = VerdictWrong, "the answer is another request's"
		return a
	}
	if a.totalLatency > j.stream.Targets.FirstToken {
		a.verdict = VerdictLate
	}
	return a
}
