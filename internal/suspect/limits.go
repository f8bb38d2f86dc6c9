package suspect

import "time"

// Limits bounds the number of suspects and how long they are kept.
type Limits struct {
	TTL        time.Duration // a suspect or quarantine expires after this time without a crash
	MaxTracked int           // maximum number of suspects; quarantined ones are evicted last
}

// DefaultLimits apply where the settings have no value: TTL follows their quarantine life.
var DefaultLimits = Limits{TTL: time.Hour, MaxTracked: 4096}
