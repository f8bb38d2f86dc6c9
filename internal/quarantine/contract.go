package quarantine

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Guard decides on runs of fingerprints over the whole fleet.
type Guard interface {
	// Begin asks the guard instance of the fingerprint for a run. If that can't be reached,
	// the suspects of the shared state alone decide. The duration is how long to wait before
	// asking again, with the verdict WAIT.
	Begin(ctx context.Context, f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID) (pb.RunVerdict, time.Duration)
	// End reports how a run has ended.
	End(f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID, completed, endpointCrashed bool)
}
