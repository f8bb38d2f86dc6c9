package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

const (
	// refusalTimeout limits the check whether an endpoint refuses connections.
	refusalTimeout = 300 * time.Millisecond
	// connectionsCloseDelay is how long after the end of its process the connections of an
	// endpoint have closed.
	connectionsCloseDelay = 25 * time.Millisecond
)

// errEndpointEnded is why an answer that ended with its connection counts as cut.
var errEndpointEnded = fmt.Errorf("the endpoint ended with the connection: %w", io.ErrUnexpectedEOF)

// closeDelimitedBody is a body that ends with its connection. The kernel ends the connections
// of a process that crashes as if the process had closed them, so the end of the connection
// doesn't show that the body is complete if the endpoint has ended as well.
type closeDelimitedBody struct {
	Body
	endpointEnded func() bool
}

// Read implements Body.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.Body.Read(p)
	if errors.Is(err, io.EOF) && b.endpointEnded() {
		return n, errEndpointEnded
	}
	return n, err
}

// hasEnded reports whether an endpoint's process has ended unexpectedly: it refuses
// connections, and none is open any more. One that leaves ends once its last answer is
// complete.
func (r *Router) hasEnded(ctx context.Context, service string, e *dispatch.Endpoint) bool {
	now := time.Now()
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	if r.isLeaving(service, e) || !r.options.Endpoints.RefusesConnections(ctx, e) {
		return false
	}
	time.Sleep(connectionsCloseDelay)
	return !r.options.Endpoints.HasConnectionOpenedBefore(e, now)
}

// isLeaving reports whether an endpoint has announced that it leaves, to this entry or to the
// control instances, which then no longer list it. One that crashed stays listed for a while,
// perhaps as its next incarnation.
func (r *Router) isLeaving(service string, e *dispatch.Endpoint) bool {
	if r.options.Stats.Availability(time.Now(), e) == dispatch.Leaving {
		return true
	}
	for _, listed := range r.options.View().Endpoints[service] {
		if listed.ID == e.ID || listed.Address == e.Address {
			return false
		}
	}
	return true
}
