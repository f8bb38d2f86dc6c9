package catalog

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// reportEndpoint takes in a heartbeat that changes an endpoint's record. A
// heartbeat that was delayed carries a lower sequence number than the record
// and is dropped: it would bring an endpoint back that has said it leaves.
func (m *Machine) reportEndpoint(index uint64, r *pb.EndpointRecord) bool {
	known := m.endpoints[r.Id]
	if known == nil {
		if len(m.endpoints) >= MaxRecords {
			return false
		}
		r.Registered = index
		m.put(index, r)
		return true
	}
	if !Changes(known, r) {
		return false
	}
	r.Registered = known.Registered
	if known.Assigned != r.Stage {
		r.Assigned = known.Assigned
	}
	m.put(index, r)
	return true
}

// assignStage takes an endpoint out of work for a change of its stage.
func (m *Machine) assignStage(index uint64, a *pb.AssignStage) bool {
	known := m.endpoints[a.Id]
	if !Live(known) || known.Assigned == a.Stage || known.Stage == a.Stage && known.Assigned == pb.Stage_STAGE_UNSPECIFIED {
		return false
	}
	changed := proto.Clone(known).(*pb.EndpointRecord)
	changed.Assigned = a.Stage
	if a.Stage == known.Stage {
		changed.Assigned = pb.Stage_STAGE_UNSPECIFIED
	}
	m.put(index, changed)
	return true
}

// put stores a changed record.
func (m *Machine) put(index uint64, r *pb.EndpointRecord) {
	r.Revision = index
	m.endpoints[r.Id] = r
	m.changes.add(index, r.Id, m.endpoints)
}

// Changes tells whether heartbeat r changes what is known of its endpoint.
func Changes(known, r *pb.EndpointRecord) bool {
	if known == nil {
		return true
	}
	if known.State == pb.EndpointState_ENDPOINT_STATE_GONE || r.Sequence <= known.Sequence {
		return false
	}
	return !alike(known, r)
}

// alike compares what a heartbeat says, not when it was said.
func alike(a, b *pb.EndpointRecord) bool {
	if a.Service != b.Service || a.Address != b.Address || a.Zone != b.Zone || a.Software != b.Software ||
		a.Slots != b.Slots || a.State != b.State || a.Stage != b.Stage || len(a.Models) != len(b.Models) {
		return false
	}
	for i := range a.Models {
		if !proto.Equal(a.Models[i], b.Models[i]) {
			return false
		}
	}
	return true
}

// retireEndpoint ends an incarnation. One that was never heard of gets a
// tombstone too: its first heartbeat may still be on its way.
func (m *Machine) retireEndpoint(index uint64, id string) bool {
	known := m.endpoints[id]
	if known.GetState() == pb.EndpointState_ENDPOINT_STATE_GONE {
		return false
	}
	gone := &pb.EndpointRecord{Id: id, State: pb.EndpointState_ENDPOINT_STATE_GONE, Registered: index}
	if known != nil {
		gone.Service, gone.Address, gone.Registered = known.Service, known.Address, known.Registered
	}
	m.put(index, gone)
	m.dropOldTombstones()
	return true
}

func (m *Machine) dropOldTombstones() {
	tombstones := 0
	var oldest *pb.EndpointRecord
	for _, e := range m.endpoints {
		if e.State != pb.EndpointState_ENDPOINT_STATE_GONE {
			continue
		}
		tombstones++
		if oldest == nil || e.Revision < oldest.Revision {
			oldest = e
		}
	}
	if tombstones > keptTombstones {
		delete(m.endpoints, oldest.Id)
	}
}

// expire silences what missed its heartbeats, unless it has changed since it
// was judged: the judgement may come late from a leader that was frozen.
func (m *Machine) expire(index uint64, e *pb.Expire) bool {
	changed := false
	for _, expected := range e.Endpoints {
		known := m.endpoints[expected.Id]
		if known == nil || known.Revision != expected.Revision || !Live(known) {
			continue
		}
		silent := proto.Clone(known).(*pb.EndpointRecord)
		silent.State = pb.EndpointState_ENDPOINT_STATE_SILENT
		m.put(index, silent)
		changed = true
	}
	for _, expected := range e.Entries {
		known := m.entries[expected.Id]
		if known == nil || known.Revision != expected.Revision {
			continue
		}
		delete(m.entries, expected.Id)
		changed = true
	}
	return changed
}

// Live tells whether an endpoint's incarnation should go on reporting.
func Live(e *pb.EndpointRecord) bool {
	return e.GetState() == pb.EndpointState_ENDPOINT_STATE_READY || e.GetState() == pb.EndpointState_ENDPOINT_STATE_DRAINING
}
