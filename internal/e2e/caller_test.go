package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// answer is the response that a caller received.
type answer struct {
	status    int
	outcome   callerapi.Outcome
	text      string
	apiError  callerapi.Error
	truncated bool // the connection ended before the whole answer was read
}

// isComplete reports whether the caller has a complete answer.
func (a answer) isComplete() bool {
	return a.status == http.StatusOK && a.apiError.Code == "" && !a.truncated
}

// request describes a request that a test sends as a caller.
type request struct {
	prompt         string
	maxTokens      int
	stream         bool
	idempotencyKey string
	teamKey        string
	deadlineMs     string // empty: the settings' default applies
}

// sendCompletion sends a completion to an entry. It returns an error only when no
// response came at all.
func sendCompletion(ctx context.Context, entry *instance, r request) (answer, error) {
	body, err := json.Marshal(callerapi.CompletionRequest{Model: "m", Prompt: r.prompt, MaxTokens: r.maxTokens, Stream: r.stream})
	if err != nil {
		return answer{}, err
	}
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(callersPort)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.setHeaders(sent)
	return roundTrip(sent, r.stream)
}

func (r request) setHeaders(sent *http.Request) {
	key := r.teamKey
	if key == "" {
		key = teamKey
	}
	sent.Header.Set(callerapi.HeaderAuthorization, "Bearer "+key)
	if r.idempotencyKey != "" {
		sent.Header.Set(callerapi.HeaderIdempotencyKey, r.idempotencyKey)
	}
	if r.deadlineMs != "" {
		sent.Header.Set(callerapi.HeaderDeadline, r.deadlineMs)
	}
}

// callService sends a plain service call that must not run twice.
func callService(ctx context.Context, entry *instance, path, key, body string) (answer, error) {
	return callServiceAs(ctx, entry, path, request{idempotencyKey: key}, body)
}

// callServiceAs sends a plain service call with r's key and team.
func callServiceAs(ctx context.Context, entry *instance, path string, r request, body string) (answer, error) {
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(callersPort)+"/v1/services/s"+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.setHeaders(sent)
	return roundTrip(sent, false)
}

// mustSendCompletion is sendCompletion to an entry that must respond.
func mustSendCompletion(t *testing.T, entry *instance, r request) answer {
	t.Helper()
	a, err := sendCompletion(callContext(t), entry, r)
	assert.NilError(t, err)
	return a
}

// mustCallService is callService at an entry that must respond.
func mustCallService(t *testing.T, entry *instance, path, key, body string) answer {
	t.Helper()
	a, err := callService(callContext(t), entry, path, key, body)
	assert.NilError(t, err)
	return a
}

// startCompletion is sendCompletion in the background. Without any response, the
// answer is incomplete and its message holds the cause.
func startCompletion(t *testing.T, entry *instance, r request) <-chan answer {
	ctx := callContext(t)
	got := make(chan answer, 1)
	go func() {
		a, err := sendCompletion(ctx, entry, r)
		if err != nil {
			a.apiError.Message = err.Error()
		}
		got <- a
	}()
	return got
}

// callerTransport opens a new connection for each request, so that a dead entry's
// connection is never reused.
var callerTransport = &http.Transport{DisableKeepAlives: true}

func roundTrip(sent *http.Request, stream bool) (answer, error) {
	response, err := callerTransport.RoundTrip(sent)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{
		status:  response.StatusCode,
		outcome: callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome)),
	}
	if stream && response.StatusCode == http.StatusOK {
		return readEvents(response.Body, a), nil
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.truncated = true
		return a, nil
	}
	return readBody(body, a), nil
}

func readBody(body []byte, a answer) answer {
	var refused callerapi.ErrorBody
	if a.status >= http.StatusBadRequest && json.Unmarshal(body, &refused) == nil {
		a.apiError = refused.Error
		return a
	}
	var reply callerapi.CompletionReply
	if json.Unmarshal(body, &reply) == nil && len(reply.Choices) == 1 {
		a.text = reply.Choices[0].Text
		return a
	}
	a.text = string(body)
	return a
}

func readEvents(body io.Reader, a answer) answer {
	a.truncated = true
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == callerapi.StreamDone {
			a.truncated = false
			a.outcome = callerapi.OutcomeCompleted
			return a
		}
		var event struct {
			callerapi.CompletionReply
			Error *callerapi.Error `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return a
		}
		if event.Error != nil {
			a.apiError, a.outcome, a.truncated = *event.Error, event.Error.Outcome, false
			return a
		}
		if len(event.Choices) == 1 {
			a.text += event.Choices[0].Text
		}
	}
	return a
}

// getJSON requests path at an entry with r's headers and decodes the body of a 200
// response into the value that into points to; into may be nil.
func getJSON(ctx context.Context, entry *instance, path string, r request, into any) (status int, err error) {
	sent, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.address(callersPort)+path, nil)
	if err != nil {
		return 0, err
	}
	r.setHeaders(sent)
	response, err := callerTransport.RoundTrip(sent)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if into != nil && response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(into)
	}
	return response.StatusCode, err
}

func checkReady(t *testing.T, i *instance) error {
	t.Helper()
	status, err := getJSON(callContext(t), i, "/readyz", request{}, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s is not ready: %d", i.id, status)
	}
	return err
}
