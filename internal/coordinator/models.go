package coordinator

import (
	"slices"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// modelEndpoints lists the model endpoints that accept requests, by service, as of one
// revision. A revision changes few of them, and only the lists of their services are copied.
// Its lock is held while the catalog, whose lock is a leaf, is read.
type modelEndpoints struct {
	mu       sync.Mutex
	revision uint64
	services map[string]*modelList
}

// modelList lists the endpoints of one service. endpoints is never changed in place.
type modelList struct {
	endpoints []allocation.Endpoint
	positions map[string]int // in endpoints, by ID
	cloned    bool           // endpoints was copied in this update
}

// ModelEndpoints returns the model endpoints of a service that accept requests.
func (c *Coordinator) ModelEndpoints(service string) []allocation.Endpoint {
	return c.models.of(c.options.Machine, service)
}

// HasEntry reports whether an incarnation of an entry is known.
func (c *Coordinator) HasEntry(id string) bool { return c.options.Machine.Entry(id) != nil }

// of returns the endpoints of a service as of the newest revision.
func (m *modelEndpoints) of(machine *catalog.Machine, service string) []allocation.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision, _ := machine.Revision(); m.services == nil || m.revision != revision {
		m.update(machine)
	}
	if list := m.services[service]; list != nil {
		return list.endpoints
	}
	return nil
}

// update applies the changes of the catalog since the previous update, or reads all of it
// if a changed record has been dropped. It is called with m.mu held.
func (m *modelEndpoints) update(machine *catalog.Machine) {
	changed, newest, complete := machine.EndpointsSince(m.revision)
	if m.services == nil || !complete {
		changed, newest, _ = machine.EndpointsSince(0)
		m.services = map[string]*modelList{}
	}
	m.revision = newest
	for _, list := range m.services {
		list.cloned = false
	}
	for _, e := range changed {
		m.apply(e)
	}
}

// apply applies one changed record. It is called with m.mu held.
func (m *modelEndpoints) apply(e *pb.EndpointRecord) {
	accepts := e.Stage != pb.Stage_STAGE_UNSPECIFIED && e.Assigned == pb.Stage_STAGE_UNSPECIFIED && e.State == pb.EndpointState_ENDPOINT_STATE_READY
	for service, list := range m.services {
		if service != e.Service || !accepts {
			list.remove(e.Id)
		}
	}
	if !accepts {
		return
	}
	list := m.services[e.Service]
	if list == nil {
		list = &modelList{positions: map[string]int{}}
		m.services[e.Service] = list
	}
	list.put(modelEndpoint(e))
}

func (l *modelList) put(e allocation.Endpoint) {
	l.clone()
	if i, ok := l.positions[e.ID]; ok {
		l.endpoints[i] = e
		return
	}
	l.positions[e.ID] = len(l.endpoints)
	l.endpoints = append(l.endpoints, e)
}

// remove removes an endpoint if it is listed; the last one takes its place.
func (l *modelList) remove(id string) {
	i, ok := l.positions[id]
	if !ok {
		return
	}
	l.clone()
	last := len(l.endpoints) - 1
	l.endpoints[i] = l.endpoints[last]
	l.positions[l.endpoints[i].ID] = i
	l.endpoints = l.endpoints[:last]
	delete(l.positions, id)
}

// clone copies endpoints once per update, since readers may hold the previous list.
func (l *modelList) clone() {
	if !l.cloned {
		l.endpoints, l.cloned = slices.Clone(l.endpoints), true
	}
}

func modelEndpoint(e *pb.EndpointRecord) allocation.Endpoint {
	models := make([]string, 0, len(e.Models))
	for _, m := range e.Models {
		models = append(models, m.Name)
	}
	return allocation.Endpoint{ID: e.Id, Zone: e.Zone, Slots: int(e.Slots), IsPrefill: e.Stage == pb.Stage_STAGE_PREFILL, Models: models, Software: e.Software}
}
