package placement

import (
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Cause tells why a place was refused.
type Cause string

// The causes of a Refusal.
const (
	CauseNotCurrent     Cause = "not-current"     // this daemon can't confirm its lease or settings
	CauseNoTeam         Cause = "no-team"         // the team left the settings
	CauseEntryZone      Cause = "entry-zone"      // this entry's zone is not permitted
	CauseTargetZone     Cause = "target-zone"     // the target's zone is not permitted
	CauseUndeclaredZone Cause = "undeclared-zone" // the target names a zone that settings don't
	CauseMisaddressed   Cause = "misaddressed"    // the target has no zone or address
)

// Refusal is the error of a place where data may not go. No byte has left.
type Refusal struct {
	Cause Cause
	Team  fleet.Team
	Zone  fleet.AvailabilityZone
}

// Error implements error.
func (r *Refusal) Error() string {
	return "placement refused: " + string(r.Cause) + " team=" + string(r.Team) + " zone=" + string(r.Zone)
}

// IsRefusal tells whether err comes from a placement check, and its cause.
func IsRefusal(err error) (Cause, bool) {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Cause, true
	}
	return "", false
}
