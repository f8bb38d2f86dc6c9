package engine

import (
	"context"
	"errors"
	"syscall"
)

// RefusesConnections implements Client.
func (c *HTTPClient) RefusesConnections(ctx context.Context, t Target) bool {
	conn, err := c.transport.DialContext(withTarget(ctx, t), "tcp", t.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent over it
	return false
}
