package suspect

import "time"

// Limits bounds the number of suspects and how long they are kept.
type Limits struct {
	Life time.Duration // a suspect or quarantine expires after this time without a crash
	Most int           // maximum number of suspects; quarantined ones are evicted last
}

// DefaultLimits apply where the settings have no value: Life follows their quarantine life.
var DefaultLimits = Limits{Life: time.Hour, Most: 4096}
