package fleet

import "time"

// Suspect is the record of a fingerprint whose request was running on an endpoint
// when the endpoint crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Crashes     int
	Quarantined bool
	Updated     time.Time
}
