package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/caller"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
)

// askCommand sends one request as a caller would, to test a fleet.
type askCommand struct {
	app            *app
	entries        []string
	keyFile        string
	authorityFile  string
	model          string
	maxTokens      int
	whole          bool
	service        string
	method         string
	path           string
	idempotencyKey string
	timeout        time.Duration
	content        string
}

func addAsk(a *app, parser *kingpin.Application) {
	c := &askCommand{app: a}
	command := parser.Command("ask", "Send one request as a caller: ask an entry which addresses to use, connect to the first and print the answer. The request's ID goes to standard error.")
	command.Flag("entry", "Callers' listener of an entry, ip:port. Repeatable.").Required().StringsVar(&c.entries)
	command.Flag("team-key-file", "File with the team's key.").Required().StringVar(&c.keyFile)
	command.Flag("entry-authority", "File with the certificate authority of the entries: ask by HTTPS.").StringVar(&c.authorityFile)
	command.Flag("model", "Model to ask.").StringVar(&c.model)
	command.Flag("max-tokens", "Longest answer, tokens.").Default("64").IntVar(&c.maxTokens)
	command.Flag("whole", "Ask for one JSON answer instead of a stream.").BoolVar(&c.whole)
	command.Flag("service", "Call this plain service instead of a model.").StringVar(&c.service)
	command.Flag("method", "Method of a service call.").Default(http.MethodGet).StringVar(&c.method)
	command.Flag("path", "Path of a service call.").Default("/").StringVar(&c.path)
	command.Flag("request-key", "Idempotency key of the request.").StringVar(&c.idempotencyKey)
	command.Flag("timeout", "Longest wait for the answer.").Default("30s").DurationVar(&c.timeout)
	command.Arg("content", "The message, or the body of a service call.").StringVar(&c.content)
	command.Action(a.commandAction(c.run))
}

func (c *askCommand) run() error {
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, c.timeout)
	defer cancel()
	secure, err := rpc.ClientTLS(c.authorityFile)
	if err != nil {
		return trace.Wrap(err)
	}
	client := caller.New(c.entries, strings.TrimSpace(string(key)), secure)
	if c.service != "" {
		return c.callService(ctx, client)
	}
	return c.chat(ctx, client)
}

func (c *askCommand) header() http.Header {
	header := http.Header{}
	if c.idempotencyKey != "" {
		header.Set(callerapi.HeaderIdempotencyKey, c.idempotencyKey)
	}
	return header
}

func (c *askCommand) chat(ctx context.Context, client *caller.Client) error {
	answer, err := client.Chat(ctx, callerapi.ChatRequest{
		Model:     c.model,
		Messages:  []callerapi.Message{{Role: "user", Content: c.content}},
		MaxTokens: c.maxTokens,
		Stream:    !c.whole,
	}, c.header(), c.app.out)
	if err == nil && c.whole {
		_, err = fmt.Fprint(c.app.out, answer.Text)
	}
	_, _ = fmt.Fprintln(c.app.out)
	c.printRequestID(answer.RequestID)
	return trace.Wrap(err)
}

func (c *askCommand) callService(ctx context.Context, client *caller.Client) error {
	path := "/v1/services/" + c.service + c.path
	response, err := client.Do(ctx, c.method, path, c.header(), strings.NewReader(c.content))
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	c.printRequestID(response.Header.Get(callerapi.HeaderRequestID))
	if _, err := io.Copy(c.app.out, response.Body); err != nil {
		return trace.Wrap(err)
	}
	_, _ = fmt.Fprintln(c.app.out)
	if response.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("the call was answered with status %d, outcome %s", response.StatusCode, response.Header.Get(callerapi.HeaderOutcome))
	}
	return nil
}

// printRequestID prints the ID to give to "timeline --request". The ID is empty
// when no entry could be reached.
func (c *askCommand) printRequestID(requestID string) {
	if requestID == "" {
		return
	}
	_, _ = fmt.Fprintf(c.app.errors, "request %s\n", requestID)
}
