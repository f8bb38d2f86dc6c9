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

// heartbeat is one of endpoint e.
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

func (l *log) take(r *pb.EndpointRecord) {
	l.t.Helper()
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: proto.Clone(r).(*pb.EndpointRecord)}})
}

func (l *log) retireBorn(born uint64) {
	l.t.Helper()
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: "e", Born: born}}})
}

// again puts the state through a snapshot, as a member with an empty disk gets it.
func (l *log) again() {
	l.t.Helper()
	data, err := l.machine.Snapshot()
	assert.NilError(l.t, err)
	l.machine = NewMachine()
	assert.NilError(l.t, l.machine.Restore(l.index, data))
}

// A caller's requests fail although the endpoint is back: it crashed or left,
// and started again under its ID, where its counts start anew. By sequence
// numbers alone its heartbeats look old, and a tombstone would bar it for good.
func TestEndpointStartsAgainUnderItsID(t *testing.T) {
	for name, before := range map[string]func(l *log){
		"crashed":         func(*log) {},
		"draining":        func(l *log) { l.take(heartbeat(100, 41, draining)) },
		"left":            func(l *log) { l.retireBorn(0) },
		"left, told so":   func(l *log) { l.retireBorn(100) },
		"silent":          func(l *log) { l.expire("e", l.machine.Endpoint("e").Revision) },
		"under an order":  func(l *log) { l.assign("e", pb.Stage_STAGE_PREFILL) },
		"left, snapshot":  func(l *log) { l.retireBorn(0); l.again() },
		"order, snapshot": func(l *log) { l.assign("e", pb.Stage_STAGE_PREFILL); l.again() },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			l.take(heartbeat(100, 40, ready))
			before(l)
			elsewhere := func(r *pb.EndpointRecord) { r.Address, r.Service, r.Zone = "10.0.0.2:80", "other", "y" }
			l.take(heartbeat(200, 1, ready, elsewhere))
			got := l.machine.Endpoint("e")
			assert.Equal(t, got.State, ready)
			assert.Equal(t, got.Born, uint64(200))
			assert.Equal(t, got.Address, "10.0.0.2:80")
			assert.Equal(t, got.Registered, l.index)
			assert.Equal(t, got.Assigned, pb.Stage_STAGE_UNSPECIFIED, "it knows of no order")
			l.take(heartbeat(200, 2, draining, elsewhere))
			assert.Equal(t, l.machine.Endpoint("e").State, draining, "its own counts hold")
		})
	}
}

// Requests go to an endpoint that is leaving, or to an address that it had
// before. What an earlier incarnation said was held up on the way, and arrives
// after the new one has started.
func TestWhatAnEarlierIncarnationSaidIsDropped(t *testing.T) {
	l := newLog(t)
	l.take(heartbeat(100, 40, ready))
	l.take(heartbeat(200, 3, draining))
	held := proto.Clone(l.machine.Endpoint("e"))
	for _, late := range []*pb.EndpointRecord{
		heartbeat(100, 41, ready), heartbeat(100, 90, draining), heartbeat(0, 90, ready), heartbeat(200, 2, ready), heartbeat(199, 1, ready),
	} {
		l.take(late)
		assert.Assert(t, proto.Equal(l.machine.Endpoint("e"), held), "%v", late)
	}
	l.retireBorn(100)
	assert.Assert(t, proto.Equal(l.machine.Endpoint("e"), held), "the leave of the one before")
	l.retireBorn(200)
	assert.Equal(t, l.machine.Endpoint("e").State, gone)
	for _, late := range []*pb.EndpointRecord{heartbeat(200, 9, ready), heartbeat(100, 99, ready), heartbeat(0, 99, ready)} {
		l.take(late)
		assert.Equal(t, l.machine.Endpoint("e").State, gone)
	}
}

// An endpoint leaves before any heartbeat of it was taken in; then one of them
// arrives. It must not come back by it, but may by a start after that.
func TestEndpointLeavesUnheard(t *testing.T) {
	l := newLog(t)
	l.retireBorn(0)
	l.take(heartbeat(100, 7, ready))
	assert.Equal(t, l.machine.Endpoint("e").State, gone)
	l.take(heartbeat(100, 8, ready))
	assert.Equal(t, l.machine.Endpoint("e").State, gone)
	l.take(heartbeat(200, 1, ready))
	assert.Equal(t, l.machine.Endpoint("e").State, ready)
}

// A good endpoint loses its work, or requests go astray: something else reports
// under its ID and start. A process keeps its service, address and zone. Once
// it is silent there is no good record to keep.
func TestContradictionsAreDropped(t *testing.T) {
	for name, change := range map[string]func(*pb.EndpointRecord){
		"service": func(r *pb.EndpointRecord) { r.Service = "other" },
		"address": func(r *pb.EndpointRecord) { r.Address = "10.0.0.9:80" },
		"zone":    func(r *pb.EndpointRecord) { r.Zone = "y" },
		"kind":    func(r *pb.EndpointRecord) { r.Stage = pb.Stage_STAGE_UNSPECIFIED },
	} {
		t.Run(name, func(t *testing.T) {
			l := newLog(t)
			l.take(heartbeat(100, 1, ready))
			held := proto.Clone(l.machine.Endpoint("e")).(*pb.EndpointRecord)
			odd := heartbeat(100, 2, ready, change)
			assert.Assert(t, Contradicts(held, odd))
			l.take(odd)
			assert.Assert(t, proto.Equal(l.machine.Endpoint("e"), held))
			l.expire("e", held.Revision)
			l.take(heartbeat(100, 3, ready, change))
			assert.Equal(t, l.machine.Endpoint("e").State, ready)
		})
	}
	l := newLog(t)
	l.take(heartbeat(100, 1, ready))
	turned := heartbeat(100, 2, ready, func(r *pb.EndpointRecord) { r.Stage = pb.Stage_STAGE_PREFILL })
	assert.Assert(t, !Contradicts(l.machine.Endpoint("e"), turned), "an order changes its stage")
}

// Requests are turned away by an endpoint that is full of life: it crashed, and
// another one started at its address, under another ID. The record of the first
// must not stay in use until its heartbeats have been missed.
func TestAnotherEndpointAtTheAddress(t *testing.T) {
	l := newLog(t)
	named := func(id, address string) func(*pb.EndpointRecord) {
		return func(r *pb.EndpointRecord) { r.Id, r.Address = id, address }
	}
	l.take(heartbeat(0, 40, ready))
	l.assign("e", pb.Stage_STAGE_PREFILL)
	l.take(heartbeat(0, 3, ready, named("other", "10.0.0.7:80")))
	held := l.index
	l.take(heartbeat(0, 1, ready, named("new", "10.0.0.1:80")))
	assert.Equal(t, l.machine.Endpoint("e").State, silent)
	assert.Equal(t, l.machine.Endpoint("e").Assigned, pb.Stage_STAGE_UNSPECIFIED)
	assert.Equal(t, l.machine.Endpoint("other").State, ready)
	assert.Equal(t, len(l.machine.Since(0, held).Endpoints), 2, "readers hear of both")
	// A heartbeat of the first that was delayed brings it back as any silent one;
	// one that was never heard of and comes late doesn't keep the new one out.
	l.take(heartbeat(0, 1, ready, named("late", "10.0.0.1:80")))
	assert.Equal(t, l.machine.Endpoint("new").State, silent)
	l.take(heartbeat(0, 2, ready, named("new", "10.0.0.1:80")))
	assert.Equal(t, l.machine.Endpoint("new").State, ready)
}

// The index of addresses agrees with a scan of all records, over random
// commands, and is the same after a snapshot.
func TestAddressIndexAgreesWithAScan(t *testing.T) {
	l := newLog(t)
	random := rand.New(rand.NewPCG(4, 2))
	for n := range 3000 {
		id := fmt.Sprint(random.IntN(40))
		if random.IntN(4) == 0 {
			l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: fmt.Sprint(random.IntN(60))}}})
		} else {
			l.take(heartbeat(uint64(n), uint64(n), ready, func(r *pb.EndpointRecord) { r.Id, r.Address = id, fmt.Sprint(random.IntN(12)) }))
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
	l.again()
	check()
}

// BenchmarkRegister is the first heartbeat of an endpoint beside 12,000 others,
// one of which may have its address.
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
