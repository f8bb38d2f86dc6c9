package placement

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Gate makes the last check for team's sends. Each call reads the clock, the
// lease and the newest settings afresh.
//
// It guards against an entry that was frozen between its claim and its send,
// and against settings that changed while a request waited: both show as
// bytes at an endpoint that the team's settings forbid, or a call that runs
// after its repeat was answered elsewhere. It holds because nothing but the
// write itself comes after it, and a daemon that can't confirm its lease is
// refused whatever its settings say.
func Gate(source membership.Source, team fleet.Team, recorder timeline.Recorder) engine.Gate {
	return func(target engine.Target) error {
		refusal := ask(source, team, target)
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

func ask(source membership.Source, team fleet.Team, target engine.Target) *Refusal {
	if !source.Current(time.Now()) {
		return &Refusal{Cause: CauseNotCurrent, Team: team, Zone: target.Zone}
	}
	return Check(source.State().Tree, team, source.Self().Zone, target)
}
