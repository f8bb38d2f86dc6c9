package placement

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Gate returns the last check before each of team's sends. Each call reads the
// clock, the lease and the latest settings.
//
// It guards against an entry that was frozen between claiming a request and
// sending it, and against settings that changed while a request waited. Either
// could send bytes to an endpoint that the team's settings forbid, or run a call
// whose repeat has already been answered elsewhere. The check holds because only
// the write itself follows it, and because a daemon that can't confirm its lease
// is refused whatever its settings say.
func Gate(source membership.Source, team fleet.Team, recorder timeline.Recorder) engine.Gate {
	return func(target engine.Target) error {
		refusal := checkLatest(source, team, target)
		if refusal == nil {
			return nil
		}
		recorder.Record(timeline.Event{
			Kind:     timeline.KindRefused,
			Team:     team,
			Endpoint: target.ID,
			Detail:   refusal.Error(),
		})
		return refusal
	}
}

func checkLatest(source membership.Source, team fleet.Team, target engine.Target) *Refusal {
	if !source.Current(time.Now()) {
		return &Refusal{Cause: CauseNotCurrent, Team: team, Zone: target.Zone}
	}
	return Check(source.State().Tree, team, source.Self().Zone, target)
}
