package route

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
)

// refusalTimeout limits the check whether an endpoint refuses connections.
const refusalTimeout = 300 * time.Millisecond

// isCloseDelimited reports whether an answer has neither a length nor chunks and ends with
// its connection.
func isCloseDelimited(request *http.Request, response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead
}

// hasEnded reports whether an endpoint's process has ended unexpectedly. The kernel closes its
// connections as if the process had, so an answer that ends with its connection may be cut
// then. An endpoint that leaves is no candidate any more, and ends once its last answer is
// complete.
func (c *activeCall) hasEnded(ctx context.Context, t engine.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	for _, candidate := range c.router.opts.Follower.Candidates(c.query()) {
		if candidate.ID == t.ID {
			return c.router.opts.Engine.RefusesConnections(ctx, t)
		}
	}
	return false
}
