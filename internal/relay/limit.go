package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// sendKind is what a send is for.
type sendKind string

// The kinds: label values.
const (
	sendFirst   sendKind = "first"
	sendAgain   sendKind = "again"
	sendPrefill sendKind = "prefill"
)

func limitKey(e *dispatch.Endpoint) endpointlimit.Endpoint {
	return endpointlimit.Endpoint(e.Incarnation())
}

// hearLimit takes in what an answer to a request sent at sent says of its endpoint's
// limit. Where another incarnation answered, it says nothing of the one that was meant.
func (l *life) hearLimit(e *dispatch.Endpoint, sent time.Time, reply *Reply) {
	if reply.Misfit {
		return
	}
	known, changed := l.router.limits.Hear(time.Now(), sent, limitKey(e), reply.Limit)
	if reply.Limit.Kind == endpointlimit.KindUnreadable {
		l.router.metrics.limitWords.WithLabelValues(reply.Limit.Kind.String()).Inc()
	}
	if !changed {
		return
	}
	l.router.metrics.limitWords.WithLabelValues(reply.Limit.Kind.String()).Inc()
	l.router.options.Part.Info("An endpoint's limit has changed.", "endpoint", e.ID, "service", l.service,
		"limited", known.Limited, "per_second", rounded(known.PerSecond), "request", l.x.ID)
}

// noteLimited writes of a send to an endpoint that is known to name a limit.
func (l *life) noteLimited(e *dispatch.Endpoint, kind sendKind) {
	known := l.router.limits.Limit(limitKey(e))
	if !known.Limited {
		return
	}
	l.router.metrics.limitedSends.WithLabelValues(string(kind)).Inc()
	l.router.options.Part.Info("Sent to a limited endpoint.", "request", l.x.ID, "endpoint", e.ID, "kind", kind,
		"per_second", rounded(known.PerSecond), "heard_ms", time.Since(known.At).Milliseconds())
}

// kind is what the next send of the exchange itself is for.
func (l *life) kind() sendKind {
	if l.sends > 0 {
		return sendAgain
	}
	return sendFirst
}
