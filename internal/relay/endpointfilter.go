package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// endpointFilter selects the endpoints that an exchange may be sent to.
type endpointFilter struct {
	service  string
	stage    dispatch.Stage
	model    string // empty for any
	software fleet.RequiredSoftware
	tried    map[dispatch.Incarnation]bool // not selected
}

func (f endpointFilter) selects(e *dispatch.Endpoint) bool {
	return e.Stage == f.stage && !f.tried[e.Incarnation()] && e.HasModel(f.model) && f.software.Allows(e.Software)
}

// candidates returns the endpoints that a filter selects and that are not blocked.
func (r *Router) candidates(f endpointFilter) []*dispatch.Endpoint {
	return r.options.Stats.Unblocked(time.Now(), r.selected(f))
}

// selected returns the endpoints that a filter selects.
func (r *Router) selected(f endpointFilter) []*dispatch.Endpoint {
	all := r.options.View().Endpoints[f.service]
	list := make([]*dispatch.Endpoint, 0, len(all))
	for _, e := range all {
		if f.selects(e) {
			list = append(list, e)
		}
	}
	return list
}

// filter selects the untried endpoints of a stage that the exchange may be sent to.
func (ex *activeExchange) filter(stage dispatch.Stage) endpointFilter {
	return endpointFilter{service: ex.service, stage: stage, model: ex.model(), software: ex.placementSoftware(), tried: ex.tried}
}
