package operator

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/pb"
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
	timeout  time.Duration // for one address, without the wait for a change in force
	retryFor time.Duration // how long all addresses are asked again
}

const (
	dialTimeout = 3 * time.Second
	maxReply    = 64 << 20
	// replyMargin is how much longer than the handler's own limit a reply may
	// take on its way.
	replyMargin = time.Second
	// retryTime is longer than an election, and than the confirmation of a
	// lease, takes.
	retryTime = 5 * time.Second
	// retryPause lies between two rounds over all addresses.
	retryPause = 100 * time.Millisecond
)

// NewClient makes a client; it dials at the first call.
func NewClient(options ClientOptions) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.TLSClientConfig = options.TLS
	transport.TLSHandshakeTimeout = dialTimeout
	return &Client{options: options, http: &http.Client{Transport: transport}, timeout: callTimeout + replyMargin, retryFor: retryTime}
}

// KeyHash names the key that the client shows.
func (c *Client) KeyHash() keyhash.Hash { return keyhash.Of(c.options.Key) }

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
	err := c.get(ctx, "/v1/endpoints", nil, &out)
	return out, err
}

// Timeline gives merged events.
func (c *Client) Timeline(ctx context.Context, in *pb.TimelineQuery) (TimelineReply, error) {
	query := url.Values{
		"request": {in.RequestId}, "endpoint": {in.EndpointId}, "team": {in.Team}, "change": {in.ChangeId},
		"since_ns": {fmt.Sprint(in.SinceNs)}, "after": {fmt.Sprint(in.AfterSequence)}, "limit": {fmt.Sprint(in.Limit)},
	}
	var out TimelineReply
	err := c.get(ctx, "/v1/timeline", query, &out)
	return out, err
}
