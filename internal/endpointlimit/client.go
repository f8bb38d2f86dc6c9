package endpointlimit

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// DeniedError means that nothing may be sent to an endpoint now.
type DeniedError struct {
	RetryAfter time.Duration // delay until a permit may be available
	// NoLimitServer is whether no limit server responded, so that the traffic of other entries
	// is unknown.
	NoLimitServer bool
}

// Error implements error.
func (e *DeniedError) Error() string {
	if e.NoLimitServer {
		return "no limit server of the endpoint responded"
	}
	return "the endpoint's limit is used up"
}

// The bounds of a Client.
const (
	// permitTimeout is the timeout of a request for a permit. A limit server answers within a
	// few milliseconds; one that doesn't is frozen or cut off.
	permitTimeout = 40 * time.Millisecond
	// minBackoff and maxBackoff bound how long a limit server is skipped after a failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// minRetryAfter is the minimum delay until a permit is requested again.
	minRetryAfter = 20 * time.Millisecond
	// reportTimeout is the timeout of reporting a limit to one limit server.
	reportTimeout = 400 * time.Millisecond
)

// Client requests permits from limit servers for one entry. Its LimitView is the entry's
// view of endpoints' limits. It is safe for concurrent use.
type Client struct {
	*LimitView
	dialer  backoff.Dialer
	members func() []string
	servers *backoff.Caller
}

// NewClient returns a Client. members returns the addresses of the control instances. shuffle
// must be safe for concurrent use.
func NewClient(dialer backoff.Dialer, members func() []string, shuffle func(n int, swap func(i, j int))) *Client {
	return &Client{
		LimitView: NewLimitView(), dialer: dialer, members: members,
		servers: backoff.NewCaller(backoff.CallerOptions{Dialer: dialer, Shuffle: shuffle, Timeout: permitTimeout, MinPause: minBackoff, MaxPause: maxBackoff}),
	}
}

// NewDisconnectedClient returns a Client that reaches no limit server: endpoints that name a
// limit get nothing.
func NewDisconnectedClient() *Client {
	return NewClient(nil, func() []string { return nil }, func(int, func(i, j int)) {})
}

// AcquirePermit requests a permit to send one request to an endpoint, which must be used soon. It
// also returns nil if a limit server knows that the limit has ended.
func (c *Client) AcquirePermit(ctx context.Context, e Endpoint) *DeniedError {
	denied := &DeniedError{RetryAfter: minBackoff, NoLimitServer: true}
	for _, server := range c.limitServers(e) {
		reply, ok := c.requestPermit(ctx, server, e)
		switch {
		case !ok:
			continue
		case reply.Granted || !c.Limit(e).Limited:
			return nil
		case denied.NoLimitServer:
			denied.NoLimitServer, denied.RetryAfter = false, maxRetryAfter
		}
		denied.RetryAfter = max(minRetryAfter, min(denied.RetryAfter, time.Duration(reply.AgainMs)*time.Millisecond))
	}
	return denied
}

// limitServers returns an endpoint's limit servers in random order, so that their shares are
// used evenly.
func (c *Client) limitServers(e Endpoint) []string {
	return c.servers.Shuffled(LimitServers(c.members(), e))
}

// requestPermit requests a permit from one limit server and merges the limit that it knows.
// ok is false if there is no answer.
func (c *Client) requestPermit(ctx context.Context, server string, e Endpoint) (reply *pb.TakePermitReply, ok bool) {
	sentAt := time.Now()
	if ctx.Err() != nil {
		return nil, false
	}
	request := &pb.TakePermitRequest{Endpoint: e.ID, Born: e.Born, Heard: toWire(sentAt, c.Limit(e))}
	err := c.servers.Call(ctx, server, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = pb.NewDRPCLimitKeeperClient(conn).TakePermit(ctx, request)
		return err
	})
	if err != nil {
		return nil, false
	}
	c.merge(e, fromWire(sentAt, reply.Heard))
	return reply, true
}

// ReportLimit reports the entry's view of an endpoint's limit to the endpoint's limit servers.
func (c *Client) ReportLimit(ctx context.Context, e Endpoint) error {
	var errs []error
	for _, server := range c.limitServers(e) {
		errs = append(errs, c.reportTo(ctx, server, e))
	}
	return trace.NewAggregate(errs...)
}

func (c *Client) reportTo(ctx context.Context, server string, e Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn, err := c.dialer.Conn(ctx, server)
	if err != nil {
		return trace.Wrap(err)
	}
	known := toWire(time.Now(), c.Limit(e))
	_, err = pb.NewDRPCLimitKeeperClient(conn).TellLimit(ctx, &pb.TellLimitRequest{Endpoint: e.ID, Born: e.Born, Heard: known})
	return trace.Wrap(err)
}
