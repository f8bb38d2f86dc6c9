package testkit

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// ApplySuspects applies changes to suspects as the shared state does: a suspect without a
// crash is deleted.
func ApplySuspects(suspects map[fleet.Fingerprint]fleet.Suspect, changed []fleet.Suspect) {
	for _, c := range changed {
		if c.Crashes == 0 {
			delete(suspects, c.Fingerprint)
			continue
		}
		suspects[c.Fingerprint] = c
	}
}
