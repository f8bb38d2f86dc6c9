package fleet

import "time"

// Suspect is a fingerprint that ran on an endpoint when it died.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     int
	Quarantined bool
	Updated     time.Time
}
