package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// Signals are the signals of an answer about which requests its endpoint accepts.
type Signals struct {
	Limit    endpointlimit.Signal // how much it accepts from all entries
	Cooldown time.Duration        // for which it accepts nothing from this entry; 0 for none
	Leaving  bool                 // it accepts no new work
}

// receiveSignals processes the signals of an answer to a request that was sent at sent. If
// another incarnation answered, they don't apply to the one that the request was sent to.
func (ex *activeExchange) receiveSignals(e *dispatch.Endpoint, sent time.Time, reply *Reply) {
	if reply.WrongIncarnation {
		return
	}
	ex.receiveLimit(e, sent, reply.Limit)
	ex.receiveAvailability(e, reply.Signals)
}

// receiveAvailability processes the signals by which an endpoint requests a cooldown or
// announces that it is leaving.
func (ex *activeExchange) receiveAvailability(e *dispatch.Endpoint, signals Signals) {
	now, stats := time.Now(), ex.router.options.Stats
	if signals.Cooldown > 0 {
		stats.StartCooldown(now, e, signals.Cooldown)
		ex.router.metrics.unwantedSignals.WithLabelValues(dispatch.CoolingDown.String()).Inc()
		ex.router.options.Part.Info("Endpoint asked for a cooldown.", "endpoint", e.ID, "service", ex.service,
			"rest_ms", signals.Cooldown.Milliseconds(), "request", ex.exchange.ID)
	}
	if signals.Leaving && stats.RecordLeaving(now, e) {
		ex.router.metrics.unwantedSignals.WithLabelValues(dispatch.Leaving.String()).Inc()
		ex.router.options.Part.Info("Endpoint is leaving.", "endpoint", e.ID, "service", ex.service, "request", ex.exchange.ID)
	}
}

// recordAttempt records an attempt to an endpoint that has a limit, is in cooldown or leaving.
func (ex *activeExchange) recordAttempt(e *dispatch.Endpoint, kind attemptKind) {
	ex.consumePermit(e, kind)
	availability := ex.router.options.Stats.Availability(time.Now(), e)
	if availability == dispatch.Accepting {
		return
	}
	ex.router.metrics.unwantedAttempts.WithLabelValues(availability.String(), string(kind)).Inc()
	ex.router.options.Part.Warn("Sent to an endpoint in cooldown or leaving.", "request", ex.exchange.ID, "endpoint", e.ID,
		"why", availability, "kind", kind)
}
