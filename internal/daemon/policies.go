package daemon

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// policies builds the scheduling policies that the settings name, on top of the
// daemon's own predictors.
type policies struct {
	base    *base
	prefill *schedule.PrefillPredictor
	links   *schedule.LinkTable
}

func newPolicies(b *base) *policies {
	return &policies{
		base:    b,
		prefill: schedule.NewPrefillPredictor(),
		links:   schedule.NewLinkTable(nil, time.Now),
	}
}

func (p *policies) choose(d settings.Decisions) (route.Policies, error) {
	if tree := p.base.agent.State().Tree; tree != nil {
		p.links.Apply(tree.Fleet.Links)
	}
	options := schedule.ChoiceOptions{Prefill: p.prefill, Links: p.links}
	prefill, err := schedule.NewChoice(fleet.RolePrefill, d.Prefill, options)
	if err != nil {
		return route.Policies{}, trace.Wrap(err)
	}
	decode, err := schedule.NewChoice(fleet.RoleDecode, d.Decode, options)
	if err != nil {
		return route.Policies{}, trace.Wrap(err)
	}
	plain, err := schedule.NewChoice(fleet.RolePlain, d.Plain, options)
	if err != nil {
		return route.Policies{}, trace.Wrap(err)
	}
	start, err := schedule.StartByName(d.Start)
	if err != nil {
		return route.Policies{}, trace.Wrap(err)
	}
	return route.Policies{Prefill: prefill, Decode: decode, Plain: plain, Start: start}, nil
}
