package route

import (
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/placement"
)

// placeHeld checks the decode engine's zone again once the settings have
// changed under a running stream.
//
// A stream may run for minutes. Without this a team whose settings leave a
// zone would still have its answers made there until they end by themselves;
// now the next token ends that run and the answer goes on in what is left.
func (a *attempt) placeHeld() *setback {
	m := a.run
	state := m.router.opts.Source.State()
	if state == a.checked {
		return nil
	}
	a.checked = state
	return a.judgePlace(state, a.decode)
}

// sourceHeld checks the prefill engine's zone before its KV cache moves: the
// gate of the import asks for the decode engine alone.
func (a *attempt) sourceHeld() *setback {
	return a.judgePlace(a.run.router.opts.Source.State(), a.prefill)
}

func (a *attempt) judgePlace(state *membership.State, h *hold) *setback {
	m := a.run
	refusal := placement.Check(state.Tree, m.req.Team, m.router.opts.Source.Self().Zone, h.target)
	if refusal == nil {
		return nil
	}
	s := forbidden(refusal.Cause)
	s.endpoint = h.target.ID
	return s
}
