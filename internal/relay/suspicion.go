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

// suspicion is what an exchange knows of whether its request crashes endpoints.
type suspicion struct {
	fingerprint *fleet.Fingerprint // nil before it was needed
	losses      int                // sends, prefills too, that ended with their endpoints' connections
	// quarantinedFor is for how long the request is refused; 0 where it isn't.
	quarantinedFor time.Duration
}

// isBroken tells whether a connection ended before its answer, as all of an endpoint's do
// when its process ends. What is cut off or frozen keeps its connections open.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// fingerprint names the request by its caller, its target and its body, so that it is known
// again in another attempt and at another entry.
func (l *life) fingerprint() fleet.Fingerprint {
	if l.suspicion.fingerprint == nil {
		x := l.x
		f := suspect.FingerprintOf(nil, string(x.Key), fmt.Sprintf("%q %q %q", x.Method, x.Host, x.Target), x.Body)
		l.suspicion.fingerprint = &f
	}
	return *l.suspicion.fingerprint
}

// noteLost takes in that a send got no whole answer; part tells whether some of it was
// passed on.
func (l *life) noteLost(at *dispatch.Endpoint, sent time.Time, part bool, err error) {
	if !isBroken(err) {
		return
	}
	l.suspicion.losses++
	loss := suspect.Loss{Fingerprint: l.fingerprint(), Sent: sent, Ended: time.Now(), Exchange: l.name(), Nth: l.suspicion.losses}
	l.router.metrics.lost.WithLabelValues(strconv.FormatBool(part)).Inc()
	l.router.options.Part.Info("Lost at an endpoint.", "request", l.x.ID, "fingerprint", loss.Fingerprint,
		"endpoint", at.ID, "born", at.Born, "service", l.service, "sent_ms", time.Since(sent).Milliseconds(), "part", part, "err", err)
	if part || !l.knowsCrashes() {
		return // what has begun to answer is not what ended its endpoint
	}
	l.router.followLoss(at, loss)
}

// name is the exchange's own in the whole fleet: callers may give an ID again.
func (l *life) name() string { return fmt.Sprintf("%s@%d", l.x.ID, l.x.Received.UnixNano()) }

// noteAnswered takes in that an endpoint has run the request and answered it.
func (l *life) noteAnswered() {
	if l.knowsCrashes() && l.router.options.Crashes.Watches() {
		l.router.options.Crashes.Answered(l.fingerprint())
	}
}

func (l *life) knowsCrashes() bool {
	return l.router.options.Crashes != nil && l.router.options.Policy.Has(dispatch.Quarantine)
}

// isQuarantined tells whether the request is refused since it crashes endpoints.
func (l *life) isQuarantined() bool {
	if !l.knowsCrashes() || !l.router.options.Crashes.Watches() {
		return false
	}
	wait, refused := l.router.options.Crashes.Refused(l.fingerprint())
	if refused {
		l.suspicion.quarantinedFor = wait
	}
	return refused
}
