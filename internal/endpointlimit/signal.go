package endpointlimit

import (
	"math"
	"strconv"
	"strings"
)

// Endpoint identifies one incarnation of an endpoint. A limit that it names doesn't bind
// other incarnations.
type Endpoint struct {
	ID   string
	Born uint64 // start of the process, Unix ms; 0 if unknown
}

// SignalKind is the kind of a limit signal.
type SignalKind int

// The kinds.
const (
	KindNone    SignalKind = iota // names no limit
	KindLimit                     // names a limit
	KindInvalid                   // names an invalid limit: the one known before stays valid
)

// String returns the name used in logs and metrics.
func (k SignalKind) String() string { return [...]string{"none", "named", "unreadable"}[k] }

// Signal is the limit signal of one answer.
type Signal struct {
	Kind SignalKind
	// PerSecond is the number of requests a second that the endpoint accepts. It is only
	// set if the answer names a limit.
	PerSecond float64
}

// maxPerSecond bounds a valid limit. No endpoint serves as many requests, and a larger number
// would in effect end the limit that was named before.
const maxPerSecond = 1e6

// ParseSignal parses the values of a header: each is a decimal number or a comma-separated list
// of them. The lowest one counts, since it satisfies all of them.
func ParseSignal(values []string) Signal {
	signal := Signal{Kind: KindNone}
	for _, value := range values {
		for _, number := range strings.Split(value, ",") {
			signal = signal.combine(parseNumber(number))
		}
	}
	return signal
}

// IsValidLimit reports whether a number of requests a second is a valid limit.
func IsValidLimit(perSecond float64) bool {
	return !math.IsNaN(perSecond) && perSecond >= 0 && perSecond <= maxPerSecond
}

func parseNumber(text string) Signal {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !IsValidLimit(perSecond) {
		return Signal{Kind: KindInvalid}
	}
	return Signal{Kind: KindLimit, PerSecond: perSecond}
}

// combine returns the signal of two values together.
func (s Signal) combine(other Signal) Signal {
	switch {
	case s.Kind != KindLimit:
		return other
	case other.Kind != KindLimit:
		return s
	}
	return Signal{Kind: KindLimit, PerSecond: min(s.PerSecond, other.PerSecond)}
}
