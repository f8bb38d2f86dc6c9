package route

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
)

const (
	// refusalTimeout limits the check whether an endpoint refuses connections.
	refusalTimeout = 300 * time.Millisecond
	// restartCheckTimeout limits the check whether an endpoint has restarted.
	restartCheckTimeout = 300 * time.Millisecond
	// minRestartTime is the least time from the end of an endpoint's process until its next
	// one takes connections.
	minRestartTime = 100 * time.Millisecond
)

// isCloseDelimited reports whether an answer has neither a length nor chunks and ends with
// its connection.
func isCloseDelimited(request *http.Request, response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead
}

// hasEnded reports whether the process of an endpoint that was sent a call at sentAt has ended
// unexpectedly. The kernel closes its connections as if the process had, so an answer that ends
// with its connection may be cut then. An endpoint that leaves is no candidate any more, and
// ends once its last answer is complete.
func (r *Router) hasEnded(ctx context.Context, t engine.Target, sentAt time.Time) bool {
	candidate, ok := r.opts.Follower.Find(t.ID)
	if !ok {
		return false
	}
	if r.refusesConnections(ctx, t) || candidate.Incarnation > t.Incarnation {
		return true
	}
	return time.Since(sentAt) >= minRestartTime && r.isRestarted(ctx, t)
}

func (r *Router) refusesConnections(ctx context.Context, t engine.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	return r.opts.Engine.RefusesConnections(ctx, t)
}

// isRestarted reports whether another incarnation of the endpoint answers. If this process was
// suspended, the connection of the call may have ended long before its end is read.
func (r *Router) isRestarted(ctx context.Context, t engine.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, restartCheckTimeout)
	defer cancel()
	_, err := r.opts.Engine.State(ctx, t)
	return errors.Is(err, engine.ErrWrongIncarnation)
}
