package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// ClientOptions say whom to ask and with which key.
type ClientOptions struct {
	Addresses []string    // host:port of operators' listeners, tried in order
	Key       string      // the operator's key, or the fleet's secret before bootstrap
	TLS       *tls.Config // nil: plain HTTP
}

// Client asks the daemons. It may be used from several goroutines.
type Client struct {
	options  ClientOptions
	http     *http.Client
	patience time.Duration // for one address, without the wait for a change in force
	rounds   time.Duration // how long all addresses are asked again
}

const (
	dialTimeout = 3 * time.Second
	maxReply    = 64 << 20
	// replyMargin is how much longer than the handler's own limit a reply may
	// take on its way.
	replyMargin = time.Second
	// roundsTime is longer than an election and than a lease takes to be
	// confirmed; roundPause is what the daemons get between two rounds.
	roundsTime = 5 * time.Second
	roundPause = 100 * time.Millisecond
)

// NewClient makes a client; it dials at the first call.
func NewClient(options ClientOptions) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.TLSClientConfig = options.TLS
	transport.TLSHandshakeTimeout = dialTimeout
	return &Client{options: options, http: &http.Client{Transport: transport}, patience: callTimeout + replyMargin, rounds: roundsTime}
}

// KeyHash names the key that the client shows.
func (c *Client) KeyHash() settings.KeyHash { return settings.HashKey(c.options.Key) }

// ReplyError is a refusal by a daemon.
type ReplyError struct {
	Status int // HTTP
	Detail ErrorDetail
}

// Error implements error.
func (e *ReplyError) Error() string { return fmt.Sprintf("%s (%s)", e.Detail.Message, e.Detail.Code) }

// Init makes a new fleet of the members.
func (c *Client) Init(ctx context.Context, in *pb.InitRequest) (*pb.InitReply, error) {
	out := &pb.InitReply{}
	return out, c.post(ctx, "/v1/init", in, out)
}

// Change sends a change of a subtree. Conflicts and refused settings are
// results, not errors.
func (c *Client) Change(ctx context.Context, in *pb.ChangeRequest) (*pb.ChangeReply, error) {
	out := &pb.ChangeReply{}
	wait := time.Duration(in.GetWaitInForceMs()) * time.Millisecond
	return out, c.postWaiting(ctx, "/v1/settings", in, out, wait)
}

// GetSettings reads subtrees within the operator's scope.
func (c *Client) GetSettings(ctx context.Context, in *pb.GetSettingsRequest) (*pb.GetSettingsReply, error) {
	query := url.Values{"name": {in.Name}, "version": {fmt.Sprint(in.Version)}, "history": {fmt.Sprint(in.History)}}
	out := &pb.GetSettingsReply{}
	return out, c.get(ctx, "/v1/settings", query, out)
}

// Status tells the state of the control group and of the fleet.
func (c *Client) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	out := &pb.StatusReply{}
	return out, c.get(ctx, "/v1/status", nil, out)
}

// DiskIdentity names the disk of the instance asked.
func (c *Client) DiskIdentity(ctx context.Context, _ *pb.StatusRequest) (*pb.Member, error) {
	out := &pb.Member{}
	return out, c.get(ctx, "/v1/disk", nil, out)
}

// ChangeMember adds or removes a control instance.
func (c *Client) ChangeMember(ctx context.Context, in *pb.ChangeMemberRequest) (*pb.ChangeMemberReply, error) {
	out := &pb.ChangeMemberReply{}
	return out, c.post(ctx, "/v1/members", in, out)
}

// Drain asks an instance to finish its requests and take no new ones.
func (c *Client) Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	out := &pb.DrainReply{}
	return out, c.post(ctx, "/v1/drain", in, out)
}

// Order gives an order to an endpoint, or asks how it is going. Both must go to
// the same instance: one address only.
func (c *Client) Order(ctx context.Context, in *pb.OrderEndpointRequest) (*pb.OrderEndpointReply, error) {
	out := &pb.OrderEndpointReply{}
	return out, c.post(ctx, "/v1/orders", in, out)
}

// Endpoints lists the endpoints.
func (c *Client) Endpoints(ctx context.Context) (EndpointsReply, error) {
	var out EndpointsReply
	data, err := c.ask(ctx, http.MethodGet, "/v1/endpoints", nil, 0)
	if err != nil {
		return out, trace.Wrap(err)
	}
	return out, trace.Wrap(json.Unmarshal(data, &out))
}

// Timeline gives merged events.
func (c *Client) Timeline(ctx context.Context, in *pb.TimelineQuery) (TimelineReply, error) {
	query := url.Values{
		"request": {in.RequestId}, "endpoint": {in.EndpointId}, "team": {in.Team}, "change": {in.ChangeId},
		"since_ns": {fmt.Sprint(in.SinceNs)}, "after": {fmt.Sprint(in.AfterSequence)}, "limit": {fmt.Sprint(in.Limit)},
	}
	var out TimelineReply
	data, err := c.ask(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil, 0)
	if err != nil {
		return out, trace.Wrap(err)
	}
	return out, trace.Wrap(json.Unmarshal(data, &out))
}

func (c *Client) get(ctx context.Context, path string, query url.Values, out proto.Message) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	data, err := c.ask(ctx, http.MethodGet, path, nil, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(lenient.Unmarshal(data, out))
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
	return trace.Wrap(lenient.Unmarshal(data, out))
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
	for end := time.Now().Add(c.rounds); ; {
		var failures []error
		data, failures, err = c.round(ctx, method, path, body, wait)
		if len(failures) == 0 {
			return data, err
		}
		if !anyNotCurrent(failures) || time.Now().After(end) || !pause(ctx, roundPause) {
			return nil, trace.ConnectionProblem(errors.Join(failures...), "no daemon could answer: %v", errors.Join(failures...))
		}
	}
}

// round asks each address once. It gives what each said when none answered for
// good.
func (c *Client) round(ctx context.Context, method, path string, body []byte, wait time.Duration) (data []byte, failures []error, err error) {
	for _, address := range c.options.Addresses {
		data, err = c.askWithin(ctx, c.patience+wait, address, method, path, body)
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

// pause waits for d; false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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
