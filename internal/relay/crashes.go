package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// crashHistory is what an exchange knows about whether its request crashes endpoints.
type crashHistory struct {
	fingerprint *fleet.Fingerprint // nil until it is needed
	losses      int                // attempts and prefills whose connection broke
	// quarantinedFor is how long the request is refused; 0 where it isn't.
	quarantinedFor time.Duration
}

// isConnectionLoss reports whether a connection ended before its answer, as all connections
// of an endpoint do when its process ends. An endpoint that is cut off or frozen keeps its
// connections open.
func isConnectionLoss(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// fingerprint identifies the request by its caller, target and body, so that it is
// recognized when it is repeated, and by other entries.
func (ex *activeExchange) fingerprint() fleet.Fingerprint {
	if ex.crashes.fingerprint == nil {
		x := ex.exchange
		f := suspect.FingerprintOf(nil, string(x.Key), fmt.Sprintf("%q %q %q", x.Method, x.Host, x.RequestURI), x.Body)
		ex.crashes.fingerprint = &f
	}
	return *ex.crashes.fingerprint
}

// recordLoss records that an attempt got no complete answer; started reports whether some
// of it was forwarded.
func (ex *activeExchange) recordLoss(at *dispatch.Endpoint, sent time.Time, started bool, err error) {
	if !isConnectionLoss(err) {
		return
	}
	lost := ex.newLostRun(at, sent, started)
	ex.router.metrics.lostAttempts.WithLabelValues(strconv.FormatBool(started)).Inc()
	ex.router.options.Part.Info("Connection to an endpoint lost.", "request", ex.exchange.ID, "fingerprint", ex.fingerprint(),
		"endpoint", at.ID, "born", at.Born, "service", ex.service, "sent_ms", time.Since(sent).Milliseconds(), "part", started,
		"prompt_parts", ex.promptParts(), "err", err)
	if lost.counts() {
		ex.router.watchLoss(at, lost)
	}
}

// newLostRun returns a run that got no complete answer, as it may count against the request and the
// parts of its prompt.
func (ex *activeExchange) newLostRun(at *dispatch.Endpoint, sent time.Time, started bool) lostRun {
	ex.crashes.losses++
	ex.parts.onTrial = false
	lost := lostRun{service: ex.service, parts: ex.partLoss(at, sent)}
	if !started && ex.tracksCrashes() { // a request that its endpoint had begun to answer did not crash it
		lost.request = &suspect.Loss{Fingerprint: ex.fingerprint(), Sent: sent, Ended: time.Now(), Exchange: ex.uniqueName(), Sequence: ex.crashes.losses}
	}
	return lost
}

// uniqueName identifies the exchange in the whole fleet: callers may reuse an ID.
func (ex *activeExchange) uniqueName() string {
	return fmt.Sprintf("%s@%d", ex.exchange.ID, ex.exchange.Received.UnixNano())
}

// recordAnswered records an endpoint's complete answer. Only a successful one shows that the
// endpoint has run the request: others come from endpoints that failed before, or that had it in
// their queue until its time was up.
func (ex *activeExchange) recordAnswered(at *dispatch.Endpoint, reply *Reply) {
	if reply.Status >= http.StatusMultipleChoices {
		return
	}
	if ex.tracksCrashes() && ex.router.options.Crashes.HasFindings() {
		ex.router.options.Crashes.RecordAnswer(ex.fingerprint())
	}
	ex.recordPartsAnswered(at)
}

func (ex *activeExchange) tracksCrashes() bool {
	return ex.router.options.Crashes != nil && ex.router.options.Policy.Has(dispatch.Quarantine)
}

// isQuarantined reports whether the exchange is refused because its request, or a part of its
// prompt, crashes endpoints.
func (ex *activeExchange) isQuarantined() bool { return ex.isRequestRefused() || ex.isPartRefused() }

func (ex *activeExchange) isRequestRefused() bool {
	if !ex.tracksCrashes() || !ex.router.options.Crashes.HasFindings() {
		return false
	}
	wait, refused := ex.router.options.Crashes.Refused(ex.fingerprint())
	if refused {
		ex.crashes.quarantinedFor = wait
	}
	return refused
}
