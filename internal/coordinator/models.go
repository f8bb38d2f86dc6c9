package coordinator

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// modelEndpoints caches the model endpoints that accept requests, by service, as of one
// revision. Its lock is a leaf.
type modelEndpoints struct {
	mu       sync.Mutex
	revision uint64
	services map[string][]allocation.Endpoint
}

// ModelEndpoints returns the model endpoints of a service that accept requests.
func (c *Coordinator) ModelEndpoints(service string) []allocation.Endpoint {
	revision, _ := c.options.Machine.Revision()
	c.models.mu.Lock()
	defer c.models.mu.Unlock()
	if c.models.services == nil || c.models.revision != revision {
		c.models.revision = revision
		c.models.services = c.groupByService()
	}
	return c.models.services[service]
}

// HasEntry reports whether an incarnation of an entry is known.
func (c *Coordinator) HasEntry(id string) bool { return c.options.Machine.Entry(id) != nil }

func (c *Coordinator) groupByService() map[string][]allocation.Endpoint {
	endpoints, _ := c.options.Machine.Records()
	list := map[string][]allocation.Endpoint{}
	for _, e := range endpoints {
		if e.Stage == pb.Stage_STAGE_UNSPECIFIED || e.Assigned != pb.Stage_STAGE_UNSPECIFIED || e.State != pb.EndpointState_ENDPOINT_STATE_READY {
			continue
		}
		models := make([]string, 0, len(e.Models))
		for _, m := range e.Models {
			models = append(models, m.Name)
		}
		list[e.Service] = append(list[e.Service], allocation.Endpoint{
			ID: e.Id, Zone: e.Zone, Slots: int(e.Slots), IsPrefill: e.Stage == pb.Stage_STAGE_PREFILL, Models: models,
		})
	}
	return list
}
