package catalog

import (
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// reportEndpoint applies a heartbeat that changes an endpoint's record and reports
// whether it did.
func (m *Machine) reportEndpoint(index uint64, r *pb.EndpointRecord) bool {
	known := m.endpoints[r.Id]
	switch {
	case !EndpointChanges(known, r):
		return false
	case known == nil && len(m.endpoints) >= MaxRecords:
		return false
	case retiredBeforeFirstHeartbeat(known):
		m.put(index, tombstone(r, r.Born, known.Registered))
		return true
	case known == nil || r.Born > known.Born:
		// A new incarnation starts without an assigned stage.
		r.Registered = index
		m.silenceOthersAt(index, r)
	default:
		r.Registered = known.Registered
		if known.Assigned != r.Stage {
			r.Assigned = known.Assigned
		}
	}
	r.PreviousSoftware = previousSoftware(known, r)
	m.put(index, r)
	return true
}

// previousSoftware returns the software version that the endpoint of a heartbeat ran before the
// present one, under the same ID; empty for none. known is its record, or nil.
func previousSoftware(known, r *pb.EndpointRecord) string {
	if known == nil || known.Software == r.Software {
		return known.GetPreviousSoftware()
	}
	return known.Software
}

// silenceOthersAt sets the other endpoints at the address of a registering endpoint to
// SILENT.
//
// This guards against an endpoint that crashes and is replaced by another one at its
// address. The first record stayed in use until its heartbeats were missed, for some four
// seconds: requests went to it and were rejected, and the stage planner counted one
// endpoint too many and took a healthy one out of service for ten seconds. An endpoint
// silenced by mistake, for example by a heartbeat delayed until its sender had died,
// returns with its own next heartbeat.
func (m *Machine) silenceOthersAt(index uint64, r *pb.EndpointRecord) {
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

// retiredBeforeFirstHeartbeat reports whether a record is the tombstone of an endpoint
// that retired before any of its heartbeats was applied, so that its start time is
// unknown. The first heartbeat after that was in transit at the time; it provides the
// start time.
func retiredBeforeFirstHeartbeat(known *pb.EndpointRecord) bool {
	return known != nil && known.State == pb.EndpointState_ENDPOINT_STATE_GONE && known.Born == 0 && known.Service == ""
}

// tombstone returns the record of a gone incarnation of r's endpoint.
func tombstone(r *pb.EndpointRecord, born, registered uint64) *pb.EndpointRecord {
	return &pb.EndpointRecord{
		Id: r.Id, Service: r.Service, Address: r.Address, Born: born, Registered: registered,
		State: pb.EndpointState_ENDPOINT_STATE_GONE, Software: r.Software, PreviousSoftware: r.PreviousSoftware,
	}
}

// assignStage takes an endpoint out of service for a change of its stage, or returns it
// to service, and reports whether anything changed.
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
	m.addresses.update(m.endpoints[r.Id], r)
	m.tombstones.update(m.endpoints[r.Id], r)
	m.endpoints[r.Id] = r
	m.changes.add(index, r.Id, m.endpoints)
}

// EndpointChanges reports whether heartbeat r changes the known record of its endpoint.
//
// Incarnations of one ID are ordered by start time, heartbeats of one incarnation by
// sequence number. This guards against a heartbeat that is delayed until its sender has
// announced that it leaves, or has restarted under its ID: applied, it would restore the
// old record, and requests would go there. So an older start time or a lower sequence
// number is dropped, a gone incarnation stays gone, and a newer start time replaces any
// record.
func EndpointChanges(known, r *pb.EndpointRecord) bool {
	switch {
	case known == nil:
		return true
	case r.Born != known.Born:
		return r.Born > known.Born
	case known.State == pb.EndpointState_ENDPOINT_STATE_GONE || r.Sequence <= known.Sequence:
		return false
	}
	return !sameReport(known, r) && !Conflicts(known, r)
}

// Conflicts reports whether heartbeat r can't be from the known live incarnation although
// it has its ID and start time: a process keeps its service, address and zone, and stays
// a model endpoint or a plain one.
//
// This guards against another process that reports under the ID of a live endpoint:
// applied, its heartbeat would take the endpoint out of service or misdirect its
// requests. A silent incarnation has no valid record to protect, so nothing conflicts
// with it.
func Conflicts(known, r *pb.EndpointRecord) bool {
	if !Live(known) || known.Born != r.Born {
		return false
	}
	plain := known.Stage == pb.Stage_STAGE_UNSPECIFIED
	return known.Service != r.Service || known.Address != r.Address || known.Zone != r.Zone ||
		plain != (r.Stage == pb.Stage_STAGE_UNSPECIFIED)
}

// sameReport compares the contents of two heartbeats, without sequence number and start
// time.
func sameReport(a, b *pb.EndpointRecord) bool {
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

// retireEndpoint ends the known incarnation or the one that the command names, and
// reports whether anything changed. An endpoint without a record gets a tombstone too:
// its first heartbeat may still be in transit.
func (m *Machine) retireEndpoint(index uint64, r *pb.RetireEndpoint) bool {
	known := m.endpoints[r.GetId()]
	if known == nil {
		known = &pb.EndpointRecord{Id: r.GetId(), Registered: index}
	}
	named := r.GetBorn() != 0
	alreadyGone := known.State == pb.EndpointState_ENDPOINT_STATE_GONE
	if named && r.Born < known.Born || alreadyGone && r.GetBorn() <= known.Born {
		return false // an earlier incarnation, or one already gone
	}
	m.put(index, tombstone(known, max(known.Born, r.GetBorn()), known.Registered))
	m.dropOldTombstones()
	return true
}

// dropOldTombstones drops the oldest tombstone if there are more than maxTombstones.
func (m *Machine) dropOldTombstones() {
	if len(m.tombstones) <= maxTombstones {
		return
	}
	oldest := m.endpoints[m.tombstones[0].id]
	m.tombstones.remove(oldest)
	m.addresses.remove(oldest)
	delete(m.endpoints, oldest.Id)
	m.droppedRevision = max(m.droppedRevision, oldest.Revision)
}

// expire applies the leader's list of records without heartbeats and reports whether
// anything changed. A record that has changed since the leader looked is skipped: the
// command of a suspended leader may come late.
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

// Live reports whether an endpoint's incarnation is expected to send heartbeats.
func Live(e *pb.EndpointRecord) bool {
	return e.GetState() == pb.EndpointState_ENDPOINT_STATE_READY || e.GetState() == pb.EndpointState_ENDPOINT_STATE_DRAINING
}
