package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// heartbeat returns a heartbeat of endpoint e.
func heartbeat(born, seq uint64, state pb.EndpointState, change ...func(*pb.EndpointRecord)) *pb.EndpointRecord {
	r := &pb.EndpointRecord{
		Id: "e", Service: "s", Address: "10.0.0.1:80", Zone: "z", Slots: 6, State: state,
		Stage: pb.Stage_STAGE_DECODE, Sequence: seq, Born: born,
	}
	for _, c := range change {
		c(r)
	}
	return r
}

func (l *log) applyHeartbeat(r *pb.EndpointRecord) {
	l.t.Helper()
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: proto.Clone(r).(*pb.EndpointRecord)}})
}

func (l *log) retireBorn(born uint64) {
	l.t.Helper()
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: "e", Born: born}}})
}

// restoreFromSnapshot replaces the machine by one restored from its snapshot, as a member
// with an empty disk gets it.
func (l *log) restoreFromSnapshot() {
	l.t.Helper()
	data, err := l.machine.Snapshot()
	assert.NilError(l.t, err)
	l.machine = NewMachine()
	assert.NilError(l.t, l.machine.Restore(l.index, data))
}

// Guards against an endpoint that restarts after a crash or leave and gets no requests.
// It restarts under its ID with new sequence numbers; by those alone its heartbeats look
// old, and a tombstone would exclude it permanently.
func TestEndpointRestartsUnderItsID(t *testing.T) {
	for name, before := range map[string]func(l *log){
		"crashed":         func(*log) {},
		"draining":        func(l *log) { l.applyHeartbeat(heartbeat(100, 41, draining)) },
		"left":            func(l *log) { l.retireBorn(0) },
		"left, named":     func(l *log) { l.retireBorn(100) },
		"silent":          func(l *log) { l.expire("e", l.machine.Endpoint("e").Revision) },
		"under an order":  func(l *log) { l.assign("e", pb.Stage_STAGE_PREFILL) },
		"left, snapshot":  func(l *log) { l.retireBorn(0); l.restoreFromSnapshot() },
		"order, snapshot": func(l *log) { l.assign("e", pb.Stage_STAGE_PREFILL); l.restoreFromSnapshot() },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			l.applyHeartbeat(heartbeat(100, 40, ready))
			before(l)
			elsewhere := func(r *pb.EndpointRecord) { r.Address, r.Service, r.Zone = "10.0.0.2:80", "other", "y" }
			l.applyHeartbeat(heartbeat(200, 1, ready, elsewhere))
			got := l.machine.Endpoint("e")
			assert.Equal(t, got.State, ready)
			assert.Equal(t, got.Born, uint64(200))
			assert.Equal(t, got.Address, "10.0.0.2:80")
			assert.Equal(t, got.Registered, l.index)
			assert.Equal(t, got.Assigned, pb.Stage_STAGE_UNSPECIFIED, "the new incarnation has no order")
			l.applyHeartbeat(heartbeat(200, 2, draining, elsewhere))
			assert.Equal(t, l.machine.Endpoint("e").State, draining, "ordered by its own sequence numbers")
		})
	}
}

// Guards against requests to an endpoint that is leaving or to its previous address:
// delayed reports of an earlier incarnation arrive after the new one has started.
func TestLateReportsOfEarlierIncarnationsAreDropped(t *testing.T) {
	l := newLog(t)
	l.applyHeartbeat(heartbeat(100, 40, ready))
	l.applyHeartbeat(heartbeat(200, 3, draining))
	held := proto.Clone(l.machine.Endpoint("e"))
	for _, late := range []*pb.EndpointRecord{
		heartbeat(100, 41, ready), heartbeat(100, 90, draining), heartbeat(0, 90, ready), heartbeat(200, 2, ready), heartbeat(199, 1, ready),
	} {
		l.applyHeartbeat(late)
		assert.Assert(t, proto.Equal(l.machine.Endpoint("e"), held), "%v", late)
	}
	l.retireBorn(100)
	assert.Assert(t, proto.Equal(l.machine.Endpoint("e"), held), "the previous incarnation leaves")
	l.retireBorn(200)
	assert.Equal(t, l.machine.Endpoint("e").State, gone)
	for _, late := range []*pb.EndpointRecord{heartbeat(200, 9, ready), heartbeat(100, 99, ready), heartbeat(0, 99, ready)} {
		l.applyHeartbeat(late)
		assert.Equal(t, l.machine.Endpoint("e").State, gone)
	}
}

// An endpoint leaves before any of its heartbeats was applied; then one of them arrives.
// It must not restore the endpoint; a later start may.
func TestEndpointRetiresBeforeItsFirstHeartbeat(t *testing.T) {
	l := newLog(t)
	l.retireBorn(0)
	l.applyHeartbeat(heartbeat(100, 7, ready))
	assert.Equal(t, l.machine.Endpoint("e").State, gone)
	l.applyHeartbeat(heartbeat(100, 8, ready))
	assert.Equal(t, l.machine.Endpoint("e").State, gone)
	l.applyHeartbeat(heartbeat(200, 1, ready))
	assert.Equal(t, l.machine.Endpoint("e").State, ready)
}

// Guards against a healthy endpoint taken out of service, or requests sent elsewhere,
// because another process reports under its ID and start time. A process keeps its
// service, address and zone. Once the endpoint is silent, there is no valid record to
// protect.
func TestContradictionsAreDropped(t *testing.T) {
	for name, change := range map[string]func(*pb.EndpointRecord){
		"service": func(r *pb.EndpointRecord) { r.Service = "other" },
		"address": func(r *pb.EndpointRecord) { r.Address = "10.0.0.9:80" },
		"zone":    func(r *pb.EndpointRecord) { r.Zone = "y" },
		"kind":    func(r *pb.EndpointRecord) { r.Stage = pb.Stage_STAGE_UNSPECIFIED },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			l.applyHeartbeat(heartbeat(100, 1, ready))
			held := proto.Clone(l.machine.Endpoint("e")).(*pb.EndpointRecord)
			conflicting := heartbeat(100, 2, ready, change)
			assert.Assert(t, Conflicts(held, conflicting))
			l.applyHeartbeat(conflicting)
			assert.Assert(t, proto.Equal(l.machine.Endpoint("e"), held))
			l.expire("e", held.Revision)
			l.applyHeartbeat(heartbeat(100, 3, ready, change))
			assert.Equal(t, l.machine.Endpoint("e").State, ready)
		})
	}
	l := newLog(t)
	l.applyHeartbeat(heartbeat(100, 1, ready))
	turned := heartbeat(100, 2, ready, func(r *pb.EndpointRecord) { r.Stage = pb.Stage_STAGE_PREFILL })
	assert.Assert(t, !Conflicts(l.machine.Endpoint("e"), turned), "a stage order changes the stage")
}

// Guards against requests that are rejected by a healthy endpoint: another one crashed at
// that address, and its record must not stay in use until its heartbeats have been
// missed.
func TestNewEndpointAtAnAddressInUse(t *testing.T) {
	l := newLog(t)
	named := func(id, address string) func(*pb.EndpointRecord) {
		return func(r *pb.EndpointRecord) { r.Id, r.Address = id, address }
	}
	l.applyHeartbeat(heartbeat(0, 40, ready))
	l.assign("e", pb.Stage_STAGE_PREFILL)
	l.applyHeartbeat(heartbeat(0, 3, ready, named("other", "10.0.0.7:80")))
	held := l.index
	l.applyHeartbeat(heartbeat(0, 1, ready, named("new", "10.0.0.1:80")))
	assert.Equal(t, l.machine.Endpoint("e").State, silent)
	assert.Equal(t, l.machine.Endpoint("e").Assigned, pb.Stage_STAGE_UNSPECIFIED)
	assert.Equal(t, l.machine.Endpoint("other").State, ready)
	assert.Equal(t, len(l.machine.Since(0, held).Endpoints), 2, "readers get both changes")
	// A delayed heartbeat of the crashed endpoint restores it as it would any silent one;
	// a late first heartbeat of another endpoint silences the new one only until its next
	// heartbeat.
	l.applyHeartbeat(heartbeat(0, 1, ready, named("late", "10.0.0.1:80")))
	assert.Equal(t, l.machine.Endpoint("new").State, silent)
	l.applyHeartbeat(heartbeat(0, 2, ready, named("new", "10.0.0.1:80")))
	assert.Equal(t, l.machine.Endpoint("new").State, ready)
}

// The address index agrees with a scan of all records after random commands, and after a
// snapshot.
func TestAddressIndexAgreesWithAScan(t *testing.T) {
	l := newLog(t)
	random := rand.New(rand.NewPCG(4, 2))
	for n := range 3000 {
		id := fmt.Sprint(random.IntN(40))
		if random.IntN(4) == 0 {
			l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: fmt.Sprint(random.IntN(60))}}})
		} else {
			l.applyHeartbeat(heartbeat(uint64(n), uint64(n), ready, func(r *pb.EndpointRecord) { r.Id, r.Address = id, fmt.Sprint(random.IntN(12)) }))
		}
	}
	want := map[string][]string{}
	all, _ := l.machine.Records()
	for _, e := range all {
		want[e.Address] = append(want[e.Address], e.Id)
	}
	check := func() {
		t.Helper()
		assert.Equal(t, len(l.machine.addresses), len(want))
		for address, ids := range want {
			slices.Sort(ids)
			assert.DeepEqual(t, l.machine.addresses.sorted(address), ids)
		}
	}
	check()
	l.restoreFromSnapshot()
	check()
}

// BenchmarkRegister measures the first heartbeat of an endpoint beside 12,000 others, one
// of which may have its address.
func BenchmarkRegister(b *testing.B) {
	m := NewMachine()
	report := func(n int) {
		r := &pb.EndpointRecord{Id: fmt.Sprint(n), Address: fmt.Sprint(n), State: ready, Sequence: 1}
		data, err := proto.Marshal(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: r}})
		assert.NilError(b, err)
		m.Apply(uint64(n+1), data)
	}
	for n := range 12000 {
		report(n)
	}
	next := 12000
	for b.Loop() {
		report(next)
		next++
	}
}
