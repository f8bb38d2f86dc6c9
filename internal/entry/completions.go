package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// ask is a decoded completion request.
type ask struct {
	shape     shape
	model     string
	prompt    string
	maxTokens int
	stream    bool
}

// shape is which of the two completion forms a caller uses.
type shape int

const (
	shapeText shape = iota + 1
	shapeChat
)

func (c *callers) completion(x *exchange) *route.Failure { return c.serveModel(x, decodeCompletion) }

func (c *callers) chat(x *exchange) *route.Failure { return c.serveModel(x, decodeChat) }

// decodeCompletion reads the body of POST /v1/completions.
func decodeCompletion(body []byte) (ask, *route.Failure) {
	var q callerapi.CompletionRequest
	if json.Unmarshal(body, &q) != nil {
		return ask{}, badRequest("the body is not a completion request in JSON")
	}
	return check(ask{shape: shapeText, model: q.Model, prompt: q.Prompt, maxTokens: q.MaxTokens, stream: q.Stream})
}

// decodeChat reads the body of POST /v1/chat/completions.
func decodeChat(body []byte) (ask, *route.Failure) {
	var q callerapi.ChatRequest
	if json.Unmarshal(body, &q) != nil {
		return ask{}, badRequest("the body is not a chat request in JSON")
	}
	return check(ask{shape: shapeChat, model: q.Model, prompt: promptOf(q.Messages), maxTokens: q.MaxTokens, stream: q.Stream})
}

func check(a ask) (ask, *route.Failure) {
	switch {
	case a.model == "":
		return ask{}, badRequest("model is missing")
	case a.prompt == "":
		return ask{}, badRequest("the prompt is empty")
	case a.maxTokens < 0:
		return ask{}, badRequest("max_tokens is negative")
	}
	return a, nil
}

// promptOf writes a chat as one prompt, a line of role and text for each turn.
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

// serveModel runs a completion and answers it as a stream or in one piece.
func (c *callers) serveModel(x *exchange, decode func([]byte) (ask, *route.Failure)) *route.Failure {
	request, a, failure := c.readAsk(x, decode)
	if failure != nil {
		return failure
	}
	head := replyHead{shape: a.shape, id: string(x.id), created: x.arrived.Unix(), model: a.model}
	if a.stream {
		return c.serveStream(x, request, head)
	}
	return c.serveJSON(x, request, head)
}

func (c *callers) readAsk(x *exchange, decode func([]byte) (ask, *route.Failure)) (route.ModelRequest, ask, *route.Failure) {
	patience, failure := x.patience()
	if failure != nil {
		return route.ModelRequest{}, ask{}, failure
	}
	body, failure := c.body(x)
	if failure != nil {
		return route.ModelRequest{}, ask{}, failure
	}
	a, failure := decode(body)
	if failure != nil {
		return route.ModelRequest{}, ask{}, failure
	}
	return route.ModelRequest{
		ID:         x.id,
		Team:       x.team.Name,
		Key:        x.key,
		Model:      a.model,
		Prompt:     a.prompt,
		MaxTokens:  a.maxTokens,
		CallerKind: x.r.Header.Get(callerapi.HeaderCallerKind),
		Patience:   patience,
		Arrived:    x.arrived,
	}, a, nil
}

// serveJSON answers whole or with a failure, never with a part.
func (c *callers) serveJSON(x *exchange, request route.ModelRequest, head replyHead) *route.Failure {
	whole := &wholeSink{}
	answer := c.opts.Router.Complete(x.r.Context(), request, whole)
	if answer.Failure != nil {
		return answer.Failure
	}
	x.w.Header().Set(callerapi.HeaderOutcome, string(callerapi.OutcomeCompleted))
	_ = x.control.SetWriteDeadline(time.Now().Add(c.bounds.WriteTime))
	return x.json(head.whole(whole.text.String(), answer))
}

// serveStream answers with server-sent events. The last one is StreamDone or
// an ErrorBody: a stream that ends with neither was cut on its way.
func (c *callers) serveStream(x *exchange, request route.ModelRequest, head replyHead) *route.Failure {
	sink := newStreamSink(x, head, c.bounds.WriteTime)
	answer := c.opts.Router.Complete(x.r.Context(), request, sink)
	if answer.Failure == nil {
		sink.done(answer)
		return nil
	}
	if !x.began {
		return answer.Failure
	}
	c.metrics.answered(answer.Failure)
	body, err := json.Marshal(c.errorBody(x, answer.Failure))
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	sink.failed(body)
	return nil
}

// startStream sends the headers of a stream. The outcome isn't known yet: the
// last event says it, and the trailer repeats it.
func (x *exchange) startStream() {
	h := x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", callerapi.HeaderOutcome)
	h.Set(callerapi.HeaderStreamState, "open")
	x.w.WriteHeader(http.StatusOK)
	x.began = true
}
