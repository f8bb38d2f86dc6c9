package daemon

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// noGuard lets each run go. It stands in until the quarantine's service lands.
type noGuard struct{}

// Begin implements quarantine.Guard.
func (noGuard) Begin(context.Context, fleet.Fingerprint, fleet.ZoneSet, fleet.AttemptID) (pb.RunVerdict, time.Duration) {
	return pb.RunVerdict_RUN_VERDICT_GO, 0
}

// End implements quarantine.Guard.
func (noGuard) End(fleet.Fingerprint, fleet.ZoneSet, fleet.AttemptID, bool, bool) {}
