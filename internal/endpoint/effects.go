package endpoint

import (
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// effects is what the shell has to do after a step of the core.
type effects struct {
	answers   []answered
	cancels   []cancelOrder
	probes    []engine.Target
	crashes   []*pb.ReportCrash
	resyncs   []engine.Target
	disowns   []disownAsk
	handovers []handover
	events    []timeline.Event
}

// answered ends a queued ask.
type answered struct {
	to     *waiting
	answer answer
}

// cancelOrder frees an attempt's memory at an endpoint.
type cancelOrder struct {
	target  engine.Target
	attempt fleet.AttemptID
}

// disownAsk asks a live owner after a hold.
type disownAsk struct {
	target engine.Target
	owner  fleet.Owner
	held   *pb.HeldAttempt
}
