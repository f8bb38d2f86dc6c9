package catalog

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// reportEndpoint takes in a heartbeat that changes an endpoint's record.
func (m *Machine) reportEndpoint(index uint64, r *pb.EndpointRecord) bool {
	known := m.endpoints[r.Id]
	switch {
	case !Changes(known, r):
		return false
	case known == nil && len(m.endpoints) >= MaxRecords:
		return false
	case leftUnheard(known):
		m.put(index, tombstone(r, r.Born, known.Registered))
		return true
	case known == nil || r.Born > known.Born:
		// A new incarnation holds nothing of before: no stage is assigned to it.
		r.Registered = index
		m.silenceAt(index, r)
	default:
		r.Registered = known.Registered
		if known.Assigned != r.Stage {
			r.Assigned = known.Assigned
		}
	}
	m.put(index, r)
	return true
}

// silenceAt silences the endpoints that had the address of one that registers.
//
// Failure guarded: an endpoint crashes and another one starts at its address.
// The record of the first stayed in use until its heartbeats had been missed, for
// some four seconds: requests went to it and were turned away, and the planner of
// stages counted one endpoint too many and took a good one out of work for ten
// seconds. What is silenced by mistake, as by a heartbeat that was delayed until
// its sender had died, is back with its own next heartbeat.
func (m *Machine) silenceAt(index uint64, r *pb.EndpointRecord) {
	for _, id := range m.addresses.sorted(r.Address) {
		other := m.endpoints[id]
		if id == r.Id || !Live(other) {
			continue
		}
		silent := proto.Clone(other).(*pb.EndpointRecord)
		silent.State = pb.EndpointState_ENDPOINT_STATE_SILENT
		silent.Assigned = pb.Stage_STAGE_UNSPECIFIED
		m.put(index, silent)
	}
}

// leftUnheard tells whether a record stands for an endpoint that left before
// any heartbeat of it was taken in, so that its start isn't known. The first
// heartbeat that comes then was on its way when it left; it tells the start.
func leftUnheard(known *pb.EndpointRecord) bool {
	return known != nil && known.State == pb.EndpointState_ENDPOINT_STATE_GONE && known.Born == 0 && known.Service == ""
}

// tombstone stands for an incarnation of r's endpoint that is gone.
func tombstone(r *pb.EndpointRecord, born, registered uint64) *pb.EndpointRecord {
	return &pb.EndpointRecord{
		Id: r.Id, Service: r.Service, Address: r.Address, Born: born, Registered: registered,
		State: pb.EndpointState_ENDPOINT_STATE_GONE,
	}
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
	m.addresses.move(m.endpoints[r.Id], r)
	m.endpoints[r.Id] = r
	m.changes.add(index, r.Id, m.endpoints)
}

// Changes tells whether heartbeat r changes what is known of its endpoint.
//
// Incarnations of one ID are ordered by their start, heartbeats of one
// incarnation by their sequence number. Failure guarded: a heartbeat is
// delayed until its sender has said that it leaves, or has started anew under
// its ID. Taken in, it would bring back what is gone, and requests would go
// there. An older start or a lower number is dropped, and an incarnation that
// is gone stays so, while a newer start replaces whatever was known.
func Changes(known, r *pb.EndpointRecord) bool {
	switch {
	case known == nil:
		return true
	case r.Born != known.Born:
		return r.Born > known.Born
	case known.State == pb.EndpointState_ENDPOINT_STATE_GONE || r.Sequence <= known.Sequence:
		return false
	}
	return !alike(known, r) && !Contradicts(known, r)
}

// Contradicts tells whether heartbeat r can't be of the incarnation that is
// known, though it bears its ID and start: a process keeps its service, address
// and zone, and remains a model endpoint or a plain one.
//
// Failure guarded: something else reports under the ID of a live endpoint.
// Taken in, it would take the endpoint's work away or send it astray. Once the
// incarnation is silent, there is no good record left to keep.
func Contradicts(known, r *pb.EndpointRecord) bool {
	if !Live(known) || known.Born != r.Born {
		return false
	}
	plain := known.Stage == pb.Stage_STAGE_UNSPECIFIED
	return known.Service != r.Service || known.Address != r.Address || known.Zone != r.Zone ||
		plain != (r.Stage == pb.Stage_STAGE_UNSPECIFIED)
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

// retireEndpoint ends an incarnation: the one that is known, or the one that
// the command names. One that was never heard of gets a tombstone too: its first
// heartbeat may still be on its way.
func (m *Machine) retireEndpoint(index uint64, r *pb.RetireEndpoint) bool {
	known := m.endpoints[r.GetId()]
	if known == nil {
		known = &pb.EndpointRecord{Id: r.GetId(), Registered: index}
	}
	named := r.GetBorn() != 0
	isGone := known.State == pb.EndpointState_ENDPOINT_STATE_GONE
	if named && r.Born < known.Born || isGone && r.GetBorn() <= known.Born {
		return false // an earlier incarnation, or one that is gone already
	}
	m.put(index, tombstone(known, max(known.Born, r.GetBorn()), known.Registered))
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
		m.addresses.remove(oldest)
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
		changed = m.expireEntry(index, expected) || changed
	}
	return changed
}

// Live tells whether an endpoint's incarnation should go on reporting.
func Live(e *pb.EndpointRecord) bool {
	return e.GetState() == pb.EndpointState_ENDPOINT_STATE_READY || e.GetState() == pb.EndpointState_ENDPOINT_STATE_DRAINING
}
