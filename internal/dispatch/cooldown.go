package dispatch

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxCooldown bounds the cooldown that one answer can request, so that a faulty
	// endpoint doesn't take itself out of service for good.
	maxCooldown = 5 * time.Minute
	// leavingDuration is how long an endpoint counts as leaving. By then it has been
	// removed; one that still reports itself ready announced leaving by mistake.
	leavingDuration = 10 * time.Minute
)

// ParseRetryAfter parses the values of a Retry-After header: each is a number of seconds or
// a comma-separated list of them. The longest one counts; unparsable ones are ignored. The
// result is at most maxCooldown.
func ParseRetryAfter(values []string) time.Duration {
	longest := 0.0
	for _, value := range values {
		for _, number := range strings.Split(value, ",") {
			seconds, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
			if err == nil && !math.IsNaN(seconds) && !math.IsInf(seconds, 0) {
				longest = max(longest, seconds)
			}
		}
	}
	return time.Duration(min(longest, maxCooldown.Seconds()) * float64(time.Second))
}

// CooldownFromAnswer returns the cooldown that an answer requests; only a rejection with status 503
// can request one.
func CooldownFromAnswer(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	return ParseRetryAfter(h.Values("Retry-After"))
}

// StartCooldown records that an endpoint requested a cooldown from this entry.
func (stats *EndpointStats) StartCooldown(now time.Time, e *Endpoint, d time.Duration) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.stateOf(e.Incarnation())
	stats.applyCooldown(s, now.Add(d))
	stats.cooldowns[e.ID] = requestedCooldown{receivedAt: now, until: s.cooldownUntil}
}

// requestedCooldown is a cooldown that was requested under an endpoint's ID.
type requestedCooldown struct{ receivedAt, until time.Time }

// appliesTo reports whether an incarnation of the endpoint may have requested the cooldown:
// it had started before the entry received it.
//
// Guards against this failure: an endpoint restarts and requests a cooldown in answer to a
// request that was sent before the entry knew the new incarnation. Recorded for the old
// incarnation only, the cooldown would not stop the next request to the new one.
func (c requestedCooldown) appliesTo(id Incarnation) bool {
	return id.Born > 0 && !c.receivedAt.IsZero() && c.receivedAt.UnixMilli() >= int64(id.Born)
}

// applyCooldown extends the cooldown of an endpoint to until. The caller must hold stats.mu.
func (stats *EndpointStats) applyCooldown(s *endpointState, until time.Time) {
	if until.After(s.cooldownUntil) {
		s.cooldownUntil = until
	}
	if stats.policy.Has(HonorCooldown) {
		stats.block(s, s.cooldownUntil)
	}
}

// RecordLeaving records that an endpoint announced that it is leaving. It reports whether that is
// new.
func (stats *EndpointStats) RecordLeaving(now time.Time, e *Endpoint) bool {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.stateOf(e.Incarnation())
	isNew := !s.isLeaving(now)
	s.leavingUntil = now.Add(leavingDuration)
	if stats.policy.Has(AvoidLeaving) {
		stats.block(s, s.leavingUntil)
	}
	return isNew
}

// Availability is whether an endpoint accepts requests from this entry by its own signals.
type Availability int

// The values of Availability.
const (
	Accepting   Availability = iota // it accepts requests
	CoolingDown                     // it requested a cooldown
	Leaving                         // it announced that it is leaving
)

// String returns the name used in logs and metrics.
func (a Availability) String() string { return [...]string{"wanted", "resting", "leaving"}[a] }

// Availability returns the current Availability of an endpoint. Leaving has precedence.
func (stats *EndpointStats) Availability(now time.Time, e *Endpoint) Availability {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	s := stats.lookup(e.Incarnation())
	switch {
	case s == nil:
		return Accepting
	case s.isLeaving(now):
		return Leaving
	case now.Before(s.cooldownUntil):
		return CoolingDown
	}
	return Accepting
}

// AllowedBySignals reports whether an endpoint's signals allow requests from this entry now,
// given the mechanisms that are on.
func (stats *EndpointStats) AllowedBySignals(now time.Time, e *Endpoint) bool {
	switch stats.Availability(now, e) {
	case CoolingDown:
		return !stats.policy.Has(HonorCooldown)
	case Leaving:
		return !stats.policy.Has(AvoidLeaving)
	case Accepting:
	}
	return true
}

func (s *endpointState) isLeaving(now time.Time) bool { return now.Before(s.leavingUntil) }
