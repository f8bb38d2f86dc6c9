package tunnel

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
)

const (
	// openTimeout limits the wait for a sibling's word on a connection.
	openTimeout = 200 * time.Millisecond
	// maxTried is how many siblings are asked for one connection.
	maxTried = 3
	// minSiblingPause and maxSiblingPause limit how long a sibling is not asked after it
	// opened no connection.
	minSiblingPause = 300 * time.Millisecond
	maxSiblingPause = 3 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Dialer    backoff.Dialer
	Directory Directory
	Shuffle   func(n int, swap func(i, j int)) // safe for concurrent use
	Part      logging.Part
	Metrics   prometheus.Registerer // nil: no metrics
}

// Client opens connections to endpoints through siblings. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	metrics *clientMetrics
	failed  *backoff.Peers // siblings
}

var _ reachability.Relay = (*Client)(nil)

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, metrics: newClientMetrics(o.Metrics), failed: backoff.New(minSiblingPause, maxSiblingPause)}
}

// Dial opens a connection to an endpoint through a sibling. If it returns an error, no byte
// was sent to the endpoint, nor will be.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	siblings := slices.Clone(c.options.Directory.Siblings(ctx))
	c.options.Shuffle(len(siblings), func(i, j int) { siblings[i], siblings[j] = siblings[j], siblings[i] })
	tried := 0
	var last error = ErrNoSibling
	for _, sibling := range siblings {
		if tried == maxTried || ctx.Err() != nil {
			break
		}
		if !c.failed.Available(sibling, time.Now()) {
			continue
		}
		tried++
		conn, err := c.dialThrough(ctx, sibling, address)
		c.recordResult(ctx, sibling, address, err)
		if err == nil {
			return conn, nil
		}
		last = err
		if c.IsEndpointFailure(err) {
			break // other siblings would find the same
		}
	}
	return nil, last
}

// IsEndpointFailure implements reachability.Relay.
func (c *Client) IsEndpointFailure(err error) bool {
	var failure *EndpointError
	return errors.As(err, &failure)
}

// recordResult records the result of one try. A sibling that told of the endpoint is asked
// again.
func (c *Client) recordResult(ctx context.Context, sibling, address string, err error) {
	switch {
	case err == nil:
		c.metrics.opened.WithLabelValues("connected").Inc()
		c.failed.RecordSuccess(sibling)
	case c.IsEndpointFailure(err):
		c.metrics.opened.WithLabelValues("endpoint-failed").Inc()
		c.failed.RecordSuccess(sibling)
	case errors.Is(err, errNoLink):
		c.metrics.opened.WithLabelValues("no-link").Inc()
		c.failed.RecordSuccess(sibling)
	case ctx.Err() != nil:
		c.metrics.opened.WithLabelValues("canceled").Inc()
	default:
		c.metrics.opened.WithLabelValues("sibling-failed").Inc()
		c.failed.RecordFailure(sibling, time.Now())
		c.options.Part.Info("A sibling opened no connection.", "sibling", sibling, "address", address, "err", err)
	}
}

// dialThrough asks one sibling for a connection.
func (c *Client) dialThrough(ctx context.Context, sibling, address string) (*Conn, error) {
	opening, stopOpening := context.WithTimeout(ctx, openTimeout)
	defer stopOpening()
	// The tunnel outlives the opening, whose end cancels it only until it is open.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopCancel := context.AfterFunc(opening, cancel)
	stream, err := c.open(streamCtx, sibling, address)
	if !stopCancel() {
		err = opening.Err()
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return newConn(stream, cancel, address), nil
}

func (c *Client) open(ctx context.Context, sibling, address string) (pb.DRPCTunnel_ConnectClient, error) {
	conn, err := c.options.Dialer.Conn(ctx, sibling)
	if err != nil {
		return nil, err
	}
	stream, err := pb.NewDRPCTunnelClient(conn).Connect(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&pb.TunnelPart{Address: address}); err != nil {
		return nil, err
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	if err := errorOfStatus(first.Status); err != nil {
		_ = stream.Close() // the sibling has ended the call
		return nil, err
	}
	return stream, nil
}
