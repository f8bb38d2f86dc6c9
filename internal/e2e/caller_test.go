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

// answer is what a caller got.
type answer struct {
	status  int
	outcome callerapi.Outcome
	text    string
	refused callerapi.Error
	cut     bool // the stream ended without a last event
}

// whole tells whether the caller has a complete answer.
func (a answer) whole() bool { return a.status == http.StatusOK && a.refused.Code == "" && !a.cut }

// request is one that a test's caller sends.
type request struct {
	prompt    string
	maxTokens int
	stream    bool
	key       string
	teamKey   string
	patience  string // ms; empty: the settings'
}

// ask sends a completion to an entry; err means that no answer came at all.
func ask(ctx context.Context, entry *instance, r request) (answer, error) {
	body, err := json.Marshal(callerapi.CompletionRequest{Model: "m", Prompt: r.prompt, MaxTokens: r.maxTokens, Stream: r.stream})
	if err != nil {
		return answer{}, err
	}
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.at(callersPort)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.address(sent)
	return receive(sent, r.stream)
}

func (r request) address(sent *http.Request) {
	key := r.teamKey
	if key == "" {
		key = teamKey
	}
	sent.Header.Set(callerapi.HeaderAuthorization, "Bearer "+key)
	if r.key != "" {
		sent.Header.Set(callerapi.HeaderIdempotencyKey, r.key)
	}
	if r.patience != "" {
		sent.Header.Set(callerapi.HeaderDeadline, r.patience)
	}
}

// call sends a plain service call that must not run twice.
func call(ctx context.Context, entry *instance, path, key, body string) (answer, error) {
	return callAs(ctx, entry, path, request{key: key}, body)
}

// callAs sends a plain service call with r's key and team.
func callAs(ctx context.Context, entry *instance, path string, r request, body string) (answer, error) {
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.at(callersPort)+"/v1/services/s"+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	r.address(sent)
	return receive(sent, false)
}

// mustAsk is ask at an entry that must give some answer.
func mustAsk(t *testing.T, entry *instance, r request) answer {
	t.Helper()
	a, err := ask(callContext(t), entry, r)
	assert.NilError(t, err)
	return a
}

// mustCall is call at an entry that must give some answer.
func mustCall(t *testing.T, entry *instance, path, key, body string) answer {
	t.Helper()
	a, err := call(callContext(t), entry, path, key, body)
	assert.NilError(t, err)
	return a
}

// askBeside is ask while the test goes on; no answer at all is one that isn't
// whole, with the cause.
func askBeside(t *testing.T, entry *instance, r request) <-chan answer {
	ctx := callContext(t)
	got := make(chan answer, 1)
	go func() {
		a, err := ask(ctx, entry, r)
		if err != nil {
			a.refused.Message = err.Error()
		}
		got <- a
	}()
	return got
}

// each request has a connection of its own, so that a dead entry's connection
// is never taken for a later request.
var callerTransport = &http.Transport{DisableKeepAlives: true}

func receive(sent *http.Request, stream bool) (answer, error) {
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
		a.cut = true
		return a, nil
	}
	return readBody(body, a), nil
}

func readBody(body []byte, a answer) answer {
	var refused callerapi.ErrorBody
	if a.status >= http.StatusBadRequest && json.Unmarshal(body, &refused) == nil {
		a.refused = refused.Error
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
	a.cut = true
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == callerapi.StreamDone {
			a.cut = false
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
			a.refused, a.outcome, a.cut = *event.Error, event.Error.Outcome, false
			return a
		}
		if len(event.Choices) == 1 {
			a.text += event.Choices[0].Text
		}
	}
	return a
}

// get reads path at an entry as r's team; into may be nil.
func get(ctx context.Context, entry *instance, path string, r request, into any) (status int, err error) {
	sent, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.at(callersPort)+path, nil)
	if err != nil {
		return 0, err
	}
	r.address(sent)
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

func ready(t *testing.T, i *instance) error {
	t.Helper()
	status, err := get(callContext(t), i, "/readyz", request{}, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("%s is not ready: %d", i.id, status)
	}
	return err
}
