package backoff

import (
	"context"
	"errors"
	"slices"
	"time"

	"storj.io/drpc"
)

// ErrSkipped means that a peer was not called, since it failed lately.
var ErrSkipped = errors.New("the peer failed lately")

// Dialer connects to peers.
type Dialer interface {
	Conn(ctx context.Context, address string) (drpc.Conn, error)
}

// CallerOptions configures a Caller.
type CallerOptions struct {
	Dialer  Dialer
	Shuffle func(n int, swap func(i, j int)) // safe for concurrent use
	// Timeout limits one call. A peer answers within milliseconds; one that doesn't is frozen
	// or cut off.
	Timeout time.Duration
	// MinPause and MaxPause limit how long a peer is skipped after a failure.
	MinPause, MaxPause time.Duration
}

// Caller calls peers of which any will do, and skips those that failed lately. It is safe for
// concurrent use.
type Caller struct {
	options CallerOptions
	failed  *Peers
}

// NewCaller returns a Caller.
func NewCaller(o CallerOptions) *Caller {
	return &Caller{options: o, failed: New(o.MinPause, o.MaxPause)}
}

// Shuffled returns peers in random order, so that all are called equally often.
func (c *Caller) Shuffled(peers []string) []string {
	list := slices.Clone(peers)
	c.options.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Available reports whether a peer may be called now.
func (c *Caller) Available(peer string) bool { return c.failed.Available(peer, time.Now()) }

// Call makes a call to one peer. It returns ErrSkipped without one, or the error of call. A
// call that fails as ctx has ended tells nothing of the peer.
func (c *Caller) Call(ctx context.Context, peer string, call func(ctx context.Context, conn drpc.Conn) error) error {
	if !c.Available(peer) {
		return ErrSkipped
	}
	err := c.call(ctx, peer, call)
	switch {
	case err == nil:
		c.failed.RecordSuccess(peer)
	case ctx.Err() == nil:
		c.failed.RecordFailure(peer, time.Now())
	}
	return err
}

func (c *Caller) call(ctx context.Context, peer string, call func(ctx context.Context, conn drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	conn, err := c.options.Dialer.Conn(ctx, peer)
	if err != nil {
		return err
	}
	return call(ctx, conn)
}
