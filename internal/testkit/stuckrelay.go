package testkit

import (
	"context"
	"net"
)

// StuckRelay is a reachability.Relay that gives no answer.
type StuckRelay struct{}

// Dial implements reachability.Relay.
func (StuckRelay) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// IsEndpointFailure implements reachability.Relay.
func (StuckRelay) IsEndpointFailure(error) bool { return false }
