package placement

import (
	"errors"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Cause is the reason for a refusal.
type Cause string

// Causes of a Refusal.
const (
	CauseNotCurrent     Cause = "not-current"     // this daemon can't confirm its lease or settings
	CauseNoTeam         Cause = "no-team"         // the settings no longer contain the team
	CauseEntryZone      Cause = "entry-zone"      // this entry's zone is not permitted
	CauseTargetZone     Cause = "target-zone"     // the target's zone is not permitted
	CauseUndeclaredZone Cause = "undeclared-zone" // the settings don't declare the target's zone
	CauseMisaddressed   Cause = "misaddressed"    // the target has no zone or address
)

// Refusal is the error of a send that placement forbids. No byte has been sent.
type Refusal struct {
	Cause Cause
	Team  fleet.Team
	Zone  fleet.AvailabilityZone
}

// Error implements error.
func (r *Refusal) Error() string {
	return "placement refused: " + string(r.Cause) + " team=" + string(r.Team) + " zone=" + string(r.Zone)
}

// IsRefusal reports whether err is a placement refusal, and returns its cause.
func IsRefusal(err error) (Cause, bool) {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Cause, true
	}
	return "", false
}
