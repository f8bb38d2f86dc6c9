package engine

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// refusalRelayTimeout limits the part of a check for a refusal in which the relay is asked, if the
// link is lost; the rest is for a direct connection.
const refusalRelayTimeout = 200 * time.Millisecond

// RefusesConnections implements Client.
func (c *HTTPClient) RefusesConnections(ctx context.Context, t Target) bool {
	relayed, cancel := context.WithTimeout(withTarget(ctx, t), refusalRelayTimeout)
	defer cancel()
	conn, err := c.transport.DialContext(relayed, "tcp", t.Address)
	if err != nil && c.options.Relay != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		conn, err = directDial(c.options)(ctx, t.Address)
	}
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // nothing was sent over it
	return false
}
