package route

import (
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/placement"
)

// checkDecodeZone checks the decode engine's zone again if the settings have changed
// since the last check.
//
// A stream may run for minutes. Without this check a zone that the team's settings
// no longer permit would be used until the stream ends. With it the next token ends
// the attempt, and the answer continues in a permitted zone.
func (a *attempt) checkDecodeZone() *attemptFailure {
	m := a.request
	state := m.router.opts.Source.State()
	if state == a.checkedState {
		return nil
	}
	a.checkedState = state
	return a.checkZone(state, a.decode)
}

// checkPrefillZone checks the prefill engine's zone before the KV transfer, since the
// gate of the import only checks the decode engine.
func (a *attempt) checkPrefillZone() *attemptFailure {
	return a.checkZone(a.request.router.opts.Source.State(), a.prefill)
}

func (a *attempt) checkZone(state *membership.State, h *heldGrant) *attemptFailure {
	m := a.request
	refusal := placement.Check(state.Tree, m.req.Team, m.router.opts.Source.Self().Zone, h.target)
	if refusal == nil {
		return nil
	}
	failed := placementFailure(refusal.Cause)
	failed.endpoint = h.target.ID
	return failed
}
