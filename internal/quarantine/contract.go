package quarantine

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Guard is how a request asks before it runs a fingerprint, over the fleet.
type Guard interface {
	// Begin asks the fingerprint's guard instance. When that can't be reached
	// the shared state's suspects alone decide.
	Begin(ctx context.Context, f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID) (pb.RunVerdict, time.Duration)
	// End reports how the run ended.
	End(f fleet.Fingerprint, permitted fleet.ZoneSet, attempt fleet.AttemptID, completed, endpointCrashed bool)
}
