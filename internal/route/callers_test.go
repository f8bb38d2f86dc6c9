package route_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/entry"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

const teamKey = "s3cret-team-key"

// serve serves the callers' interface of a fleet on a loopback port.
func serve(t testing.TB, w *fakeFleet) *httptest.Server {
	t.Helper()
	return serveRouter(t, w, w.router(route.Bounds{}))
}

func serveRouter(t testing.TB, w *fakeFleet, r *route.Router) *httptest.Server {
	t.Helper()
	return serveBounded(t, w, r, entry.Bounds{MaxBodyBytes: 4096, MaxKeyBytes: 32})
}

func serveBounded(t testing.TB, w *fakeFleet, r *route.Router, bounds entry.Bounds) *httptest.Server {
	t.Helper()
	handler := entry.NewHandler(entry.Options{
		Router: r, Source: w, Recorder: w,
		TeamByKey: func(tree *settings.Tree, key string) (settings.Team, bool) {
			return tree.Teams["sutokatha"], key == teamKey
		},
		Bounds: bounds,
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

type call struct {
	method, path, body string
	header             map[string]string
}

type reply struct {
	status int
	header http.Header
	body   string
}

func (c call) do(t testing.TB, server *httptest.Server) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), c.method, server.URL+c.path, strings.NewReader(c.body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return reply{status: response.StatusCode, header: response.Header, body: string(body)}
}

// post sends a team's request and returns the response as soon as it begins.
func post(ctx context.Context, t testing.TB, server *httptest.Server, path string, body io.Reader) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, body)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// failureIn parses the error in a body or in a stream's last event.
func failureIn(t *testing.T, text string) callerapi.Error {
	t.Helper()
	var body callerapi.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(text), &body), text)
	return body.Error
}

// eventually waits until done returns true, for at most 5 s.
func eventually(done func() bool) {
	deadline := time.Now().Add(5 * time.Second)
	for !done() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

const (
	chatBody   = `{"model":"fibre","messages":[{"role":"user","content":"Assess."}],"max_tokens":10}`
	chatStream = `{"model":"fibre","messages":[{"role":"user","content":"Assess."}],"max_tokens":10,"stream":true}`
	textBody   = `{"model":"fibre@1","prompt":"Assess.","max_tokens":10}`
)

func TestJSONAnswers(t *testing.T) {
	server := serve(t, newFakeFleet())
	for path, body := range map[string]string{"/v1/chat/completions": chatBody, "/v1/completions": textBody} {
		got := call{method: "POST", path: path, body: body}.do(t, server)
		assert.Equal(t, got.status, 200, got.body)
		assert.Equal(t, got.header.Get(callerapi.HeaderOutcome), "completed")
		var answer callerapi.CompletionReply
		assert.NilError(t, json.Unmarshal([]byte(got.body), &answer))
		text := answer.Choices[0].Text
		if answer.Choices[0].Message != nil {
			text = answer.Choices[0].Message.Content
		}
		assert.Equal(t, text, tokens(10))
		assert.Equal(t, answer.Usage.CompletionTokens, 10)
		assert.Equal(t, *answer.Choices[0].FinishReason, "length")
		assert.Equal(t, answer.ID, got.header.Get(callerapi.HeaderRequestID))
	}
}

// events returns the data of each event of a stream.
func events(body string) []string {
	var out []string
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			out = append(out, data)
		}
	}
	return out
}

func streamText(t *testing.T, list []string) string {
	t.Helper()
	var b strings.Builder
	for _, data := range list {
		var event callerapi.CompletionReply
		assert.NilError(t, json.Unmarshal([]byte(data), &event), data)
		assert.Equal(t, event.Object, "chat.completion.chunk")
		b.WriteString(event.Choices[0].Delta.Content)
	}
	return b.String()
}

func TestStreamAnswers(t *testing.T) {
	got := call{method: "POST", path: "/v1/chat/completions", body: chatStream}.do(t, serve(t, newFakeFleet()))
	assert.Equal(t, got.status, 200)
	list := events(got.body)
	assert.Equal(t, list[len(list)-1], callerapi.StreamDone)
	assert.Equal(t, streamText(t, list[:len(list)-1]), tokens(10))
}

// Each decode engine dies after some tokens. The stream must end with an event that
// states the failure and the retry delay; otherwise the partial answer looks complete.
func TestStreamEndsClearly(t *testing.T) {
	w := newFakeFleet()
	w.setDecodeFaults("decode", fault{broken: true, after: 2})
	got := call{method: "POST", path: "/v1/chat/completions", body: chatStream}.do(t, serve(t, w))
	list := events(got.body)
	assert.Equal(t, streamText(t, list[:len(list)-1]), tokens(4))
	failure := failureIn(t, list[len(list)-1])
	assert.Equal(t, failure.Outcome, callerapi.OutcomeFailed)
	assert.Assert(t, failure.RetryAfterMs > 0)
	assert.Assert(t, failure.RequestID != "")
	w.assertNothingHeld(t)
}

// The same failure without streaming: the caller must not get a partial answer.
func TestJSONNeverPartial(t *testing.T) {
	w := newFakeFleet()
	w.setDecodeFaults("decode", fault{broken: true, after: 2})
	got := call{method: "POST", path: "/v1/chat/completions", body: chatBody}.do(t, serve(t, w))
	assert.Equal(t, got.status, 502)
	assert.Equal(t, got.header.Get(callerapi.HeaderOutcome), "failed")
	assert.Assert(t, !strings.Contains(got.body, token(0)+token(1)))
}

func TestContractFaults(t *testing.T) {
	long := strings.Repeat("x", 5000)
	chat := func(body string) call { return call{method: "POST", path: "/v1/chat/completions", body: body} }
	with := func(c call, name, value string) call {
		c.header = map[string]string{name: value}
		return c
	}
	cases := map[string]struct {
		call   call
		status int
		code   callerapi.Code
	}{
		"no key":            {with(chat(chatBody), "Authorization", ""), 401, callerapi.CodeUnauthorised},
		"wrong key":         {with(chat(chatBody), "Authorization", "Bearer other"), 401, callerapi.CodeUnauthorised},
		"no bearer":         {with(chat(chatBody), "Authorization", teamKey), 401, callerapi.CodeUnauthorised},
		"malformed":         {chat(`{"model":`), 400, callerapi.CodeBadRequest},
		"truncated":         {chat(chatBody[:len(chatBody)-9]), 400, callerapi.CodeBadRequest},
		"wrong type":        {chat(`{"model":7,"messages":[]}`), 400, callerapi.CodeBadRequest},
		"no model":          {chat(`{"messages":[{"role":"user","content":"a"}]}`), 400, callerapi.CodeBadRequest},
		"no messages":       {chat(`{"model":"fibre"}`), 400, callerapi.CodeBadRequest},
		"negative tokens":   {chat(`{"model":"fibre","max_tokens":-1,"messages":[{"content":"a"}]}`), 400, callerapi.CodeBadRequest},
		"unknown model":     {chat(`{"model":"gloss","messages":[{"content":"a"}]}`), 404, callerapi.CodeNoModel},
		"unknown version":   {chat(`{"model":"fibre@9","messages":[{"content":"a"}]}`), 404, callerapi.CodeNoModel},
		"unknown adapter":   {chat(`{"model":"fibre@1/x","messages":[{"content":"a"}]}`), 404, callerapi.CodeNoModel},
		"oversized body":    {chat(`{"model":"` + long + `"}`), 413, callerapi.CodeTooLarge},
		"oversized tokens":  {chat(`{"model":"fibre","max_tokens":5000,"messages":[{"content":"a"}]}`), 413, callerapi.CodeTooLarge},
		"oversized key":     {with(chat(chatBody), "Idempotency-Key", long[:33]), 400, callerapi.CodeBadRequest},
		"bad deadline":      {with(chat(chatBody), "Hyssopsail-Deadline-Ms", "soon"), 400, callerapi.CodeBadRequest},
		"negative deadline": {with(chat(chatBody), "Hyssopsail-Deadline-Ms", "-5"), 400, callerapi.CodeBadRequest},
		"wrong method":      {call{method: "GET", path: "/v1/completions"}, 405, callerapi.CodeMethodRefused},
		"no path":           {call{method: "GET", path: "/v2"}, 404, callerapi.CodeNotFound},
		"unknown service":   {call{method: "GET", path: "/v1/services/other/a"}, 404, callerapi.CodeNoService},
		"path above":        {call{method: "GET", path: "/v1/services/bank/a/../../b"}, 400, callerapi.CodeBadRequest},
		"encoded above":     {call{method: "GET", path: "/v1/services/bank/%2e%2e/b"}, 400, callerapi.CodeBadRequest},
		"unknown request":   {call{method: "GET", path: "/v1/requests/none"}, 404, callerapi.CodeNotFound},
	}
	w := newFakeFleet()
	server := serve(t, w)
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := tc.call.do(t, server)
			assert.Equal(t, got.status, tc.status, got.body)
			failure := failureIn(t, got.body)
			assert.Equal(t, failure.Code, tc.code)
			assert.Equal(t, string(failure.Outcome), got.header.Get(callerapi.HeaderOutcome))
			assert.Equal(t, failure.RequestID, got.header.Get(callerapi.HeaderRequestID))
		})
	}
	assert.Equal(t, len(w.sends), 0)
}

// A refusal must state the retry delay in whole seconds in the header, rounded up so that
// no caller comes early, and in milliseconds in the body.
func TestRefusalForm(t *testing.T) {
	w := newFakeFleet()
	w.denied = &admission.Decision{Code: callerapi.CodeOverloaded, RetryAfter: 1300 * time.Millisecond}
	got := call{method: "POST", path: "/v1/completions", body: textBody}.do(t, serve(t, w))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.header.Get("Retry-After"), "2")
	failure := failureIn(t, got.body)
	assert.Equal(t, failure.RetryAfterMs, int64(1300))
	assert.DeepEqual(t, failure.Addresses, []string{"127.0.0.1:2"})
}

// An entry cut off from the control group may hold outdated settings. It must refuse and
// name other entries.
func TestNotCurrent(t *testing.T) {
	w := newFakeFleet()
	w.setStale(true)
	server := serve(t, w)
	got := call{method: "POST", path: "/v1/completions", body: textBody}.do(t, server)
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.header.Get(callerapi.HeaderOutcome), "not-run")
	failure := failureIn(t, got.body)
	assert.Equal(t, failure.Code, callerapi.CodeNotCurrent)
	assert.DeepEqual(t, failure.Addresses, []string{"127.0.0.1:2"})
	assert.Equal(t, call{method: "GET", path: "/readyz"}.do(t, server).status, 503)
	assert.Equal(t, call{method: "GET", path: "/healthz"}.do(t, server).status, 200)
}

func TestAddresses(t *testing.T) {
	server := serve(t, newFakeFleet())
	got := call{method: "GET", path: "/v1/addresses"}.do(t, server)
	var body callerapi.AddressesReply
	assert.NilError(t, json.Unmarshal([]byte(got.body), &body))
	assert.Equal(t, body.KeepMs, int64(5000))
	assert.DeepEqual(t, body.Addresses, []callerapi.Address{
		{Address: "127.0.0.1:1", Zone: "howrah"}, {Address: "127.0.0.1:2", Zone: "kolkata-north"},
	})
}

// A caller reaches an entry outside its team's zones. The entry must name permitted ones
// and refuse before it has read the body.
func TestEntryOutsideTheZones(t *testing.T) {
	w := newFakeFleet()
	w.permit("kolkata-north")
	server := serve(t, w)
	got := call{method: "GET", path: "/v1/addresses"}.do(t, server)
	assert.Assert(t, strings.Contains(got.body, "127.0.0.1:2") && !strings.Contains(got.body, "127.0.0.1:1"), got.body)
	unread, body := io.Pipe()
	defer func() { _ = body.Close() }()
	response := post(t.Context(), t, server, "/v1/completions", unread)
	var refusal callerapi.ErrorBody
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&refusal))
	assert.Equal(t, refusal.Error.Code, callerapi.CodeNoPermittedZone)
	assert.DeepEqual(t, refusal.Error.Addresses, []string{"127.0.0.1:2"})
}

// A caller begins a body and never ends it. The connection must not be kept open for it.
func TestBodyNeverEnds(t *testing.T) {
	w := newFakeFleet()
	server := serveBounded(t, w, w.router(route.Bounds{}), entry.Bounds{BodyReadTimeout: 20 * time.Millisecond})
	unread, body := io.Pipe()
	defer func() { _ = body.Close() }()
	go func() { _, _ = body.Write([]byte(`{"model":`)) }()
	response := post(t.Context(), t, server, "/v1/completions", unread)
	assert.Equal(t, response.StatusCode, 400)
}

// A caller stops reading in the middle of its answer but keeps its connection open. Its
// decode slot must be released.
func TestCallerStopsReading(t *testing.T) {
	w := newFakeFleet()
	r := w.routerWith(fastEngine{engines{w}, strings.Repeat("cotton ", 600)}, route.Bounds{DefaultOutputTokens: 4000})
	server := serveBounded(t, w, r, entry.Bounds{WriteTimeout: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(1024))
	body := `{"model":"fibre","prompt":"a","stream":true,"max_tokens":4000}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", teamKey, len(body), body)
	assert.NilError(t, err)
	_, err = bufio.NewReaderSize(conn, 16).ReadByte()
	assert.NilError(t, err)
	eventually(func() bool { return r.RunningRequests() == 0 })
	assert.Equal(t, r.RunningRequests(), 0)
	assert.Equal(t, w.grantCount(), 0)
}

func TestServiceCall(t *testing.T) {
	w := newFakeFleet()
	server := serve(t, w)
	slip := call{method: "POST", path: "/v1/services/bank/slips/7", body: "slip", header: map[string]string{"Idempotency-Key": "slip-7"}}
	got := slip.do(t, server)
	assert.Equal(t, got.status, 201)
	assert.Equal(t, got.body, "slip POST /slips/7")
	assert.Equal(t, got.header.Get(callerapi.HeaderOutcome), "completed")
	again := slip.do(t, server)
	assert.Equal(t, again.status, 409)
	assert.Equal(t, again.header.Get(callerapi.HeaderOutcome), "completed")
	assert.Equal(t, w.sent("call"), 1)
	known := call{method: "GET", path: "/v1/requests/slip-7"}.do(t, server)
	assert.Assert(t, strings.Contains(known.body, `"outcome":"completed","status_code":201`), known.body)
}

// A caller closes its connection in the middle of a stream. The decode engine must be
// cancelled and the slot released.
func TestHangUp(t *testing.T) {
	w := newFakeFleet()
	w.setFault("decode", "d1", 1, fault{stall: true, after: 3})
	server := serve(t, w)
	ctx, cancel := context.WithCancel(t.Context())
	response := post(ctx, t, server, "/v1/chat/completions", strings.NewReader(chatStream))
	_, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	_ = response.Body.Close()
	eventually(func() bool { return w.grantCount() == 0 })
	w.assertNothingHeld(t)
}

// After a panic the caller must still get an answer, and its outcome must be "unknown".
func TestPanicAnswers(t *testing.T) {
	for _, key := range []string{"", "k"} {
		w := newFakeFleet()
		w.beforeSend = func(string) { panic("fault") }
		server := serve(t, w)
		for _, c := range []call{
			{method: "POST", path: "/v1/completions", body: textBody, header: map[string]string{"Idempotency-Key": key}},
			{method: "POST", path: "/v1/services/bank/slips", body: textBody, header: map[string]string{"Idempotency-Key": key + key}},
		} {
			got := c.do(t, server)
			assert.Equal(t, got.status, 500)
			assert.Equal(t, got.header.Get(callerapi.HeaderOutcome), "unknown")
		}
		w.assertNothingHeld(t)
	}
}

// The time line is read by operators who may not see what callers send.
func TestNoBodyInTimeline(t *testing.T) {
	w := newFakeFleet()
	server := serve(t, w)
	header := map[string]string{"Idempotency-Key": "k-911"}
	body := `{"model":"fibre","prompt":"PRIVATE","max_tokens":3}`
	call{method: "POST", path: "/v1/completions", body: body, header: header}.do(t, server)
	header["Idempotency-Key"] = "k-911-slip"
	call{method: "POST", path: "/v1/services/bank/slips", body: "PRIVATE", header: header}.do(t, server)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, len(w.events) > 10)
	for _, e := range w.events {
		text, err := json.Marshal(e)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(text), "PRIVATE") && !strings.Contains(string(text), "k-911"), string(text))
	}
}
