package endpoint

import (
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// effects are the actions that Home executes after a step of the core.
type effects struct {
	responses    []queuedResponse
	cancels      []cancelOrder
	probes       []engine.Target
	crashes      []*pb.ReportCrash
	resyncs      []engine.Target
	ownerQueries []ownerQuery
	handovers    []handover
	events       []timeline.Event
}

// queuedResponse is the response to a queued request.
type queuedResponse struct {
	to       *queuedRequest
	response response
}

// cancelOrder frees an attempt's memory at an endpoint.
type cancelOrder struct {
	target  engine.Target
	attempt fleet.AttemptID
}

// ownerQuery asks a live owner whether it still runs a hold.
type ownerQuery struct {
	target engine.Target
	owner  fleet.Owner
	held   *pb.HeldAttempt
}
