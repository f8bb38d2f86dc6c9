package relay

import (
	"slices"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// viewIndex finds what a view has without a look at all its endpoints. It is made when it is first
// needed.
type viewIndex struct {
	once     sync.Once
	byID     map[string]*dispatch.Endpoint
	software map[pool][]string // versions
}

// pool is the endpoints of a service that serve one stage.
type pool struct {
	service string
	stage   dispatch.Stage
}

// find returns the endpoint with an ID; nil if the view has none.
func (v *View) find(id string) *dispatch.Endpoint {
	v.index.once.Do(v.makeIndex)
	return v.index.byID[id]
}

// softwareOf returns the software versions of a service's endpoints of a stage.
func (v *View) softwareOf(service string, stage dispatch.Stage) []string {
	v.index.once.Do(v.makeIndex)
	return v.index.software[pool{service, stage}]
}

func (v *View) makeIndex() {
	v.index.byID, v.index.software = map[string]*dispatch.Endpoint{}, map[pool][]string{}
	for service, list := range v.Endpoints {
		for _, e := range list {
			v.index.byID[e.ID] = e
			key := pool{service, e.Stage}
			if !slices.Contains(v.index.software[key], e.Software) {
				v.index.software[key] = append(v.index.software[key], e.Software)
			}
		}
	}
}
