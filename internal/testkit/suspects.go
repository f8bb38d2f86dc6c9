package testkit

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// PutSuspects takes changes as the shared state does: one without a crash is
// dropped.
func PutSuspects(suspects map[fleet.Fingerprint]fleet.Suspect, changed []fleet.Suspect) {
	for _, c := range changed {
		if c.Crashes == 0 {
			delete(suspects, c.Fingerprint)
			continue
		}
		suspects[c.Fingerprint] = c
	}
}
