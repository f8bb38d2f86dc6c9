package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// decodedRequest is a decoded completion request.
type decodedRequest struct {
	format    completionFormat
	model     string
	prompt    string
	maxTokens int
	stream    bool
}

// completionFormat says which of the two completion APIs a caller uses.
type completionFormat int

const (
	formatText completionFormat = iota + 1
	formatChat
)

func (c *callerHandler) completion(x *exchange) *route.Failure {
	return c.serveModel(x, decodeCompletion)
}

func (c *callerHandler) chat(x *exchange) *route.Failure { return c.serveModel(x, decodeChat) }

// decodeCompletion decodes and validates the body of POST /v1/completions.
func decodeCompletion(body []byte) (decodedRequest, *route.Failure) {
	var q callerapi.CompletionRequest
	if json.Unmarshal(body, &q) != nil {
		return decodedRequest{}, badRequest("the body is not a completion request in JSON")
	}
	return validate(decodedRequest{format: formatText, model: q.Model, prompt: q.Prompt, maxTokens: q.MaxTokens, stream: q.Stream})
}

// decodeChat decodes and validates the body of POST /v1/chat/completions.
func decodeChat(body []byte) (decodedRequest, *route.Failure) {
	var q callerapi.ChatRequest
	if json.Unmarshal(body, &q) != nil {
		return decodedRequest{}, badRequest("the body is not a chat request in JSON")
	}
	return validate(decodedRequest{format: formatChat, model: q.Model, prompt: promptOf(q.Messages), maxTokens: q.MaxTokens, stream: q.Stream})
}

func validate(a decodedRequest) (decodedRequest, *route.Failure) {
	switch {
	case a.model == "":
		return decodedRequest{}, badRequest("model is missing")
	case a.prompt == "":
		return decodedRequest{}, badRequest("the prompt is empty")
	case a.maxTokens < 0:
		return decodedRequest{}, badRequest("max_tokens is negative")
	}
	return a, nil
}

// promptOf joins the messages of a chat into one prompt, with a line
// "role: content" for each message.
func promptOf(messages []callerapi.Message) string {
	var b strings.Builder
	for n, m := range messages {
		if n > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
	}
	return b.String()
}

// serveModel runs a completion and answers with a stream or one JSON body.
func (c *callerHandler) serveModel(x *exchange, decode func([]byte) (decodedRequest, *route.Failure)) *route.Failure {
	request, a, failure := c.readCompletion(x, decode)
	if failure != nil {
		return failure
	}
	head := replyFields{format: a.format, id: string(x.id), created: x.arrived.Unix(), model: a.model}
	if a.stream {
		return c.serveStream(x, request, head)
	}
	return c.serveJSON(x, request, head)
}

func (c *callerHandler) readCompletion(x *exchange, decode func([]byte) (decodedRequest, *route.Failure)) (route.ModelRequest, decodedRequest, *route.Failure) {
	timeout, failure := x.timeout()
	if failure != nil {
		return route.ModelRequest{}, decodedRequest{}, failure
	}
	body, failure := c.body(x)
	if failure != nil {
		return route.ModelRequest{}, decodedRequest{}, failure
	}
	a, failure := decode(body)
	if failure != nil {
		return route.ModelRequest{}, decodedRequest{}, failure
	}
	return route.ModelRequest{
		ID:         x.id,
		Team:       x.team.Name,
		Key:        x.key,
		Model:      a.model,
		Prompt:     a.prompt,
		MaxTokens:  a.maxTokens,
		CallerKind: x.r.Header.Get(callerapi.HeaderCallerKind),
		Patience:   timeout,
		Arrived:    x.arrived,
	}, a, nil
}

// serveJSON answers with the complete text or an error, never with part of the text.
func (c *callerHandler) serveJSON(x *exchange, request route.ModelRequest, head replyFields) *route.Failure {
	sink := &bufferSink{}
	answer := c.opts.Router.Complete(x.r.Context(), request, sink)
	if answer.Failure != nil {
		return answer.Failure
	}
	x.w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeCompleted))
	_ = x.control.SetWriteDeadline(time.Now().Add(c.bounds.WriteTimeout))
	return x.writeJSON(head.completionReply(sink.text.String(), answer))
}

// serveStream answers with server-sent events. The last one is StreamDone or
// an ErrorBody; a stream that ends with neither was truncated in transit.
func (c *callerHandler) serveStream(x *exchange, request route.ModelRequest, head replyFields) *route.Failure {
	sink := newStreamSink(x, head, c.bounds.WriteTimeout)
	answer := c.opts.Router.Complete(x.r.Context(), request, sink)
	if answer.Failure == nil {
		sink.finish(answer)
		return nil
	}
	if !x.headersSent {
		return answer.Failure
	}
	c.metrics.countFailure(answer.Failure)
	body, err := json.Marshal(c.errorBody(x, answer.Failure))
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	sink.fail(body)
	return nil
}

// startStream sends the headers of a stream. The outcome isn't known yet: the
// last event carries it, and the trailer repeats it.
func (x *exchange) startStream() {
	h := x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", callerapi.HeaderOutcome)
	h.Set(callerapi.HeaderStreamState, "open")
	x.w.WriteHeader(http.StatusOK)
	x.headersSent = true
}
