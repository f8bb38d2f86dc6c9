package route

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// stall is the first transfer of a request that stood still.
type stall struct {
	source fleet.EndpointID
	at     fleet.EndpointID
}

// blameStall names the endpoint to avoid after a transfer stood still.
//
// Both ends are suspected, and one stall doesn't tell which. Blaming the decode
// engine each time shows, when a prefill engine's sends stall, as a request
// that "each endpoint has failed" though all decode engines are well. A second
// stall with the same source blames that one, and clears the engine that was
// blamed first.
func (m *modelRun) blameStall(source, at fleet.EndpointID) fleet.EndpointID {
	if m.stalled.source != source {
		m.stalled = stall{source: source, at: at}
		return at
	}
	m.clearStalled()
	return source
}

// clearStalled lets the decode engine of the first stall be chosen again.
func (m *modelRun) clearStalled() { delete(m.avoid, m.stalled.at) }
