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
	data, err := c.send(ctx, http.MethodGet, path, nil, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	return decodeReply(data, out)
}

func (c *Client) post(ctx context.Context, path string, in, out proto.Message) error {
	return c.postWaiting(ctx, path, in, out, 0)
}

func (c *Client) postWaiting(ctx context.Context, path string, in, out proto.Message, wait time.Duration) error {
	body, err := marshal.Marshal(in)
	if err != nil {
		return trace.Wrap(err)
	}
	data, err := c.send(ctx, http.MethodPost, path, body, wait)
	if err != nil {
		return trace.Wrap(err)
	}
	return decodeReply(data, out)
}

// decodeReply decodes a reply into a message of package pb, or into a type with its own
// JSON encoding.
func decodeReply(data []byte, out any) error {
	if message, ok := out.(proto.Message); ok {
		return trace.Wrap(unmarshalLenient.Unmarshal(data, message))
	}
	return trace.Wrap(json.Unmarshal(data, out))
}

// send tries each address until one returns a conclusive reply. Every request of this
// client is safe to repeat: changes carry a change ID, a second init is rejected, and
// member changes and drains state the desired end state.
//
// Right after init and during an election no daemon can confirm its settings, and each
// refuses with CodeNotCurrent although the request would succeed a moment later. As long
// as a daemon replies so, which it does before it executes anything, all addresses are
// retried for up to retryTimeout.
func (c *Client) send(ctx context.Context, method, path string, body []byte, wait time.Duration) (data []byte, err error) {
	if len(c.options.Addresses) == 0 {
		return nil, trace.BadParameter("no address of a daemon is given")
	}
	for end := time.Now().Add(c.retryTimeout); ; {
		var failures []error
		data, failures, err = c.tryAddresses(ctx, method, path, body, wait)
		if len(failures) == 0 {
			return data, err
		}
		if !anyNotCurrent(failures) || time.Now().After(end) || !sleep.For(ctx, retryPause) {
			return nil, trace.ConnectionProblem(errors.Join(failures...), "no daemon could answer: %v", errors.Join(failures...))
		}
	}
}

// tryAddresses sends the request to each address in turn until one returns a conclusive
// reply. If none does, it returns the failure of each address.
func (c *Client) tryAddresses(ctx context.Context, method, path string, body []byte, wait time.Duration) (data []byte, failures []error, err error) {
	for _, address := range c.options.Addresses {
		data, err = c.sendWithin(ctx, c.addressTimeout+wait, address, method, path, body)
		if err == nil || !shouldTryNext(err) || ctx.Err() != nil {
			return data, nil, err
		}
		failures = append(failures, err)
	}
	return nil, failures, nil
}

// anyNotCurrent reports whether a daemon refused with CodeNotCurrent, and so may serve
// the request soon.
func anyNotCurrent(failures []error) bool {
	for _, err := range failures {
		var refused *ReplyError
		if errors.As(err, &refused) && refused.Detail.Code == CodeNotCurrent {
			return true
		}
	}
	return false
}

// shouldTryNext reports whether another instance may succeed where one failed with err.
func shouldTryNext(err error) bool {
	var refused *ReplyError
	return !errors.As(err, &refused) || refused.Status == http.StatusServiceUnavailable || refused.Status == http.StatusTooManyRequests
}

// sendWithin limits the time spent on one address. An instance behind a network
// partition that drops packets may accept the connection, or not even that, and never
// reply. Without a limit the client would hang there and never try the next address.
func (c *Client) sendWithin(ctx context.Context, limit time.Duration, address, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.sendTo(ctx, address, method, path, body)
}

func (c *Client) sendTo(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
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
		return nil, trace.ConnectionProblem(err, "%s: %v", address, unwrapURLError(err))
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s: reading the reply failed: %v", address, err)
	}
	return data, replyError(response.StatusCode, data)
}

// replyError returns the error that a reply holds, or nil. Conflicts and rejected
// settings are regular results of a change.
func replyError(status int, data []byte) error {
	if status < http.StatusBadRequest || status == http.StatusConflict || status == http.StatusUnprocessableEntity {
		return nil
	}
	var reply ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error.Message == "" {
		reply.Error = ErrorDetail{Code: CodeInternal, Message: http.StatusText(status)}
	}
	return &ReplyError{Status: status, Detail: reply.Error}
}

// unwrapURLError removes the method and URL that net/http puts before the cause.
func unwrapURLError(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}
