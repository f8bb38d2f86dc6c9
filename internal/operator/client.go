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
	"github.com/hyssopsail/hyssopsail/internal/responsehead"
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Addresses []string    // host:port of daemons' operator listeners, tried in order
	Key       string      // the operator's key, or the fleet's secret before bootstrap
	TLS       *tls.Config // nil: plain HTTP
}

// Client sends operators' requests to the daemons. It is safe for concurrent use.
type Client struct {
	options        ClientOptions
	http           *http.Client
	addressTimeout time.Duration // for one address, excluding the wait for a change to be in force
	retryTimeout   time.Duration // how long the addresses are retried
}

const (
	dialTimeout   = 3 * time.Second
	maxReplyBytes = 64 << 20
	// replyMargin is added to the handler's own time limit for the transfer of a
	// reply.
	replyMargin = time.Second
	// defaultRetryTimeout is longer than an election or the confirmation of a
	// lease takes.
	defaultRetryTimeout = 5 * time.Second
	// retryPause is the pause between two rounds over all addresses.
	retryPause = 100 * time.Millisecond
)

// NewClient returns a client. It connects at the first call.
func NewClient(options ClientOptions) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.TLSClientConfig = options.TLS
	transport.TLSHandshakeTimeout = dialTimeout
	return &Client{options: options, http: &http.Client{Transport: responsehead.Transport{Base: transport}}, addressTimeout: callTimeout + replyMargin, retryTimeout: defaultRetryTimeout}
}

// KeyHash returns the hash of the client's key.
func (c *Client) KeyHash() keyhash.Hash { return keyhash.Of(c.options.Key) }

// ReplyError is an error reply of a daemon.
type ReplyError struct {
	Status int // HTTP status code
	Detail ErrorDetail
}

// Error implements error.
func (e *ReplyError) Error() string { return fmt.Sprintf("%s (%s)", e.Detail.Message, e.Detail.Code) }

// Init creates a new fleet of the members.
func (c *Client) Init(ctx context.Context, in *pb.InitRequest) (*pb.InitReply, error) {
	out := &pb.InitReply{}
	return out, c.post(ctx, "/v1/init", in, out)
}

// Change sends a change of a subtree. A conflict or rejected settings are reported in
// the reply, not as an error.
func (c *Client) Change(ctx context.Context, in *pb.ChangeRequest) (*pb.ChangeReply, error) {
	out := &pb.ChangeReply{}
	wait := time.Duration(in.GetWaitInForceMs()) * time.Millisecond
	return out, c.postWaiting(ctx, "/v1/settings", in, out, wait)
}

// GetSettings returns subtrees within the operator's scope.
func (c *Client) GetSettings(ctx context.Context, in *pb.GetSettingsRequest) (*pb.GetSettingsReply, error) {
	query := url.Values{"name": {in.Name}, "version": {fmt.Sprint(in.Version)}, "history": {fmt.Sprint(in.History)}}
	out := &pb.GetSettingsReply{}
	return out, c.get(ctx, "/v1/settings", query, out)
}

// Status returns the state of the control group and of the fleet.
func (c *Client) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusReply, error) {
	out := &pb.StatusReply{}
	return out, c.get(ctx, "/v1/status", nil, out)
}

// DiskIdentity returns the identity of the disk of the instance that answers.
func (c *Client) DiskIdentity(ctx context.Context, _ *pb.StatusRequest) (*pb.Member, error) {
	out := &pb.Member{}
	return out, c.get(ctx, "/v1/disk", nil, out)
}

// ChangeMember adds or removes a control instance.
func (c *Client) ChangeMember(ctx context.Context, in *pb.ChangeMemberRequest) (*pb.ChangeMemberReply, error) {
	out := &pb.ChangeMemberReply{}
	return out, c.post(ctx, "/v1/members", in, out)
}

// Drain tells an instance to finish its requests and accept no new ones.
func (c *Client) Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	out := &pb.DrainReply{}
	return out, c.post(ctx, "/v1/drain", in, out)
}

// Order sends an order to an endpoint, or asks for the order's progress. Both must go
// to the same instance, so the client must have a single address.
func (c *Client) Order(ctx context.Context, in *pb.OrderEndpointRequest) (*pb.OrderEndpointReply, error) {
	out := &pb.OrderEndpointReply{}
	return out, c.post(ctx, "/v1/orders", in, out)
}

// Endpoints returns the endpoints of the fleet.
func (c *Client) Endpoints(ctx context.Context) (EndpointsReply, error) {
	var out EndpointsReply
	err := c.get(ctx, "/v1/endpoints", nil, &out)
	return out, err
}

// Timeline returns the events of all reachable instances, merged.
func (c *Client) Timeline(ctx context.Context, in *pb.TimelineQuery) (TimelineReply, error) {
	query := url.Values{
		"request": {in.RequestId}, "endpoint": {in.EndpointId}, "team": {in.Team}, "change": {in.ChangeId},
		"since_ns": {fmt.Sprint(in.SinceNs)}, "after": {fmt.Sprint(in.AfterSequence)}, "limit": {fmt.Sprint(in.Limit)},
	}
	var out TimelineReply
	err := c.get(ctx, "/v1/timeline", query, &out)
	return out, err
}
