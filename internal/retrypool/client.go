package retrypool

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc"

	"github.com/hyssopsail/hyssopsail/internal/backoff"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The bounds of a Client.
const (
	// askTimeout is the timeout of one question.
	askTimeout = 40 * time.Millisecond
	// maxAsked is how many instances are asked for one retry.
	maxAsked = 2
	// minBackoff and maxBackoff limit how long an instance is not asked after a failure.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// deniedPause is how long an instance is not asked for a service after it denied a
	// retry: while everything fails, each request would ask.
	deniedPause = 500 * time.Millisecond
)

// Client asks for retries on behalf of one entry. It is safe for concurrent use if shuffle
// is.
type Client struct {
	members   func() []string
	instances *backoff.Caller
	denied    *backoff.Peers // instances for a service
}

// NewClient returns a Client; members returns the addresses of the control instances.
func NewClient(dialer backoff.Dialer, members func() []string, shuffle func(n int, swap func(i, j int))) *Client {
	return &Client{
		members: members, denied: backoff.New(deniedPause, deniedPause),
		instances: backoff.NewCaller(backoff.CallerOptions{Dialer: dialer, Shuffle: shuffle, Timeout: askTimeout, MinPause: minBackoff, MaxPause: maxBackoff}),
	}
}

// Take reports whether a request of a service may be sent once more, which counts as an
// extra arrival from now on. The attempt must follow within retrybudget.PoolGrantTTL.
func (c *Client) Take(ctx context.Context, service string) bool {
	asked := 0
	for _, instance := range c.instances.Shuffled(c.members()) {
		if asked == maxAsked || ctx.Err() != nil {
			return false
		}
		deniedKey := service + "\x00" + instance
		if !c.denied.Available(deniedKey, time.Now()) {
			continue
		}
		granted, err := c.ask(ctx, instance, service)
		if errors.Is(err, backoff.ErrSkipped) {
			continue
		}
		asked++
		if granted {
			return true
		}
		if err == nil {
			c.denied.RecordFailure(deniedKey, time.Now())
		}
	}
	return false
}

func (c *Client) ask(ctx context.Context, instance, service string) (granted bool, err error) {
	err = c.instances.Call(ctx, instance, func(ctx context.Context, conn drpc.Conn) error {
		reply, err := pb.NewDRPCRetryPoolClient(conn).TakeRetry(ctx, &pb.TakeRetryRequest{Service: service})
		granted = reply.GetGranted()
		return err
	})
	return granted && err == nil, err
}
