package suspect

import "time"

// Limits bound the suspects.
type Limits struct {
	Life time.Duration // a suspect or quarantine lapses after this long without a crash
	Most int           // suspects kept; quarantined ones are evicted last
}

// DefaultLimits hold where the settings say nothing: Life follows their
// quarantine life.
var DefaultLimits = Limits{Life: time.Hour, Most: 4096}
