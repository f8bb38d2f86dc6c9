package relay

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// isBroken tells whether a connection ended before its answer, as all of an endpoint's do
// when its process ends. What is cut off or frozen keeps its connections open.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// fingerprint names the request by its caller, its target and its body, so that it is known
// again in another attempt and at another entry.
func (x *Exchange) fingerprint() fleet.Fingerprint {
	return suspect.FingerprintOf(nil, string(x.Key), fmt.Sprintf("%q %q %q", x.Method, x.Host, x.Target), x.Body)
}

// noteLost takes in that a send got no whole answer; part tells whether some of it was
// passed on.
func (l *life) noteLost(at *dispatch.Endpoint, sent time.Time, part bool, err error) {
	if !isBroken(err) {
		return
	}
	l.router.metrics.lost.WithLabelValues(strconv.FormatBool(part)).Inc()
	l.router.options.Part.Info("Lost at an endpoint.", "request", l.x.ID, "fingerprint", l.x.fingerprint(),
		"endpoint", at.ID, "born", at.Born, "service", l.service, "sent_ms", time.Since(sent).Milliseconds(), "part", part, "err", err)
}
