package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

func (c *Client) get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	data, err := c.ask(ctx, http.MethodGet, path, nil, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	return decode(data, out)
}

func (c *Client) post(ctx context.Context, path string, in, out proto.Message) error {
	return c.postWaiting(ctx, path, in, out, 0)
}

func (c *Client) postWaiting(ctx context.Context, path string, in, out proto.Message, wait time.Duration) error {
	body, err := marshal.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	data, err := c.ask(ctx, http.MethodPost, path, body, wait)
	if err != nil {
		return trace.Wrap(err)
	}
	return decode(data, out)
}

// decode reads an answer into a message of package pb, or into a type with a
// JSON form of its own.
func decode(data []byte, out any) error {
	if message, ok := out.(proto.Message); ok {
		return trace.Wrap(lenient.Unmarshal(data, message))
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// ask tries each address until one answers for good. Every request here may
// be sent twice: changes carry a change ID, init refuses a second time, and
// members and drains name their end state.
//
// Failure: right after init, and in an election, no daemon can confirm its
// settings; each refuses as not current, and a command fails that would have
// passed a moment later. So while a live daemon says so, all are asked again,
// for a bounded time. It refused before it tried anything.
func (c *Client) ask(ctx context.Context, method, path string, body []byte, wait time.Duration) (data []byte, err error) {
	if len(c.options.Addresses) == 0 {
		return nil, trace.BadParameter("no address of a daemon is given")
	}
	for end := time.Now().Add(c.retryFor); ; {
		var failures []error
		data, failures, err = c.round(ctx, method, path, body, wait)
		if len(failures) == 0 {
			return data, err
		}
		if !anyNotCurrent(failures) || time.Now().After(end) || !sleep.For(ctx, retryPause) {
			return nil, trace.ConnectionProblem(errors.Join(failures...), "no daemon could answer: %v", errors.Join(failures...))
		}
	}
}

// round asks each address once. It gives what each said when none answered for
// good.
func (c *Client) round(ctx context.Context, method, path string, body []byte, wait time.Duration) (data []byte, failures []error, err error) {
	for _, address := range c.options.Addresses {
		data, err = c.askWithin(ctx, c.timeout+wait, address, method, path, body)
		if err == nil || !elsewhere(err) || ctx.Err() != nil {
			return data, nil, err
		}
		failures = append(failures, err)
	}
	return nil, failures, nil
}

// anyNotCurrent tells whether a live daemon may serve in a moment.
func anyNotCurrent(failures []error) bool {
	for _, err := range failures {
		var refused *ReplyError
		if errors.As(err, &refused) && refused.Detail.Code == CodeNotCurrent {
			return true
		}
	}
	return false
}

// elsewhere tells whether another instance may do better.
func elsewhere(err error) bool {
	var refused *ReplyError
	return !errors.As(err, &refused) || refused.Status == http.StatusServiceUnavailable || refused.Status == http.StatusTooManyRequests
}

// askWithin bounds the try at one address. An instance behind a silent
// partition takes the connection, or nothing at all, and never answers: without
// a bound for each address the tool would hang there and never ask the next.
func (c *Client) askWithin(ctx context.Context, limit time.Duration, address, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.askOne(ctx, address, method, path, body)
}

func (c *Client) askOne(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	scheme := "http://"
	if c.options.TLS != nil {
		scheme = "https://"
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Key)
	request.Header.Set("Content-Type", contentType)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s: %v", address, rootOf(err))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s: the answer broke off: %v", address, err)
	}
	return data, refusal(response.StatusCode, data)
}

// refusal gives the error of an answer; conflicts and refused settings are
// answers to a change.
func refusal(status int, data []byte) error {
	if status < http.StatusBadRequest || status == http.StatusConflict || status == http.StatusUnprocessableEntity {
		return nil
	}
	var reply ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error.Message == "" {
		reply.Error = ErrorDetail{Code: CodeInternal, Message: http.StatusText(status)}
	}
	return &ReplyError{Status: status, Detail: reply.Error}
}

// rootOf leaves out the method and URL that net/http puts before the cause.
func rootOf(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}
