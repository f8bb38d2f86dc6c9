package route

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// transferStall is the first transfer of a request that stalled.
type transferStall struct {
	source fleet.EndpointID
	decode fleet.EndpointID
}

// suspectAfterStall returns the endpoint to avoid after a stalled transfer.
//
// One stall doesn't show which end is at fault. If the decode engine were always
// suspected, a prefill engine whose sends stall would make the request fail at every
// decode engine, though all of them work. A second stall with the same source
// therefore puts the suspicion on the source and clears the first decode engine.
func (m *activeModelRequest) suspectAfterStall(source, at fleet.EndpointID) fleet.EndpointID {
	if m.firstStall.source != source {
		m.firstStall = transferStall{source: source, decode: at}
		return at
	}
	m.clearFirstStall()
	return source
}

// clearFirstStall allows the decode engine of the first stall to be chosen again.
func (m *activeModelRequest) clearFirstStall() { delete(m.avoid, m.firstStall.decode) }
