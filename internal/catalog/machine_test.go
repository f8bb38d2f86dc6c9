package catalog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

const (
	ready    = pb.EndpointState_ENDPOINT_STATE_READY
	draining = pb.EndpointState_ENDPOINT_STATE_DRAINING
	silent   = pb.EndpointState_ENDPOINT_STATE_SILENT
	gone     = pb.EndpointState_ENDPOINT_STATE_GONE
)

// log applies commands at increasing indexes.
type log struct {
	t       *testing.T
	machine *Machine
	index   uint64
}

func newLog(t *testing.T) *log { return &log{t: t, machine: NewMachine()} }

func (l *log) apply(c *pb.CatalogCommand) {
	l.t.Helper()
	data, err := proto.Marshal(c)
	assert.NilError(l.t, err)
	l.index++
	l.machine.Apply(l.index, data)
}

func (l *log) report(id string, seq uint64, state pb.EndpointState) {
	l.t.Helper()
	record := &pb.EndpointRecord{Id: id, Service: "s", Address: "10.0.0.1:80", State: state, Sequence: seq}
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: record}})
}

func (l *log) retire(id string) {
	l.t.Helper()
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: id}}})
}

func (l *log) expire(id string, revision uint64) {
	l.t.Helper()
	expire := &pb.Expire{Endpoints: []*pb.Expected{{Id: id, Revision: revision}}}
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_Expire{Expire: expire}})
}

func (l *log) put(version int64, source string) {
	l.t.Helper()
	d := &pb.ConfigDocument{Version: version, Source: []byte(source)}
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_PutDocument{PutDocument: d}})
}

func (l *log) assign(id string, stage pb.Stage) {
	l.t.Helper()
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_AssignStage{AssignStage: &pb.AssignStage{Id: id, Stage: stage}}})
}

// Guards against requests to an endpoint that has announced that it leaves: an earlier
// heartbeat, delayed in transit, arrives after the announcement and must not be taken for
// a newer one.
func TestLateHeartbeatRestoresNothing(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(l *log)
		want  pb.EndpointState
	}{
		{"in order", func(l *log) { l.report("a", 1, ready); l.report("a", 2, draining) }, draining},
		{"late ready", func(l *log) { l.report("a", 2, draining); l.report("a", 1, ready) }, draining},
		{"same number", func(l *log) { l.report("a", 2, draining); l.report("a", 2, ready) }, draining},
		{"after it left", func(l *log) { l.report("a", 1, ready); l.retire("a"); l.report("a", 9, ready) }, gone},
		{"left before it was seen", func(l *log) { l.retire("a"); l.report("a", 1, ready) }, gone},
		{"silent, then seen", func(l *log) { l.report("a", 1, ready); l.expire("a", 1); l.report("a", 2, ready) }, ready},
		{"silent, late heartbeat", func(l *log) { l.report("a", 3, ready); l.expire("a", 1); l.report("a", 2, ready) }, silent},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLog(t)
			test.steps(l)
			assert.Equal(t, l.machine.Endpoint("a").State, test.want)
		})
	}
}

// A leader is suspended after it found an endpoint silent, and its command is committed
// after another leader has seen the endpoint again.
func TestLateExpireCommandIsDropped(t *testing.T) {
	l := newLog(t)
	l.report("a", 1, ready)
	expected := l.machine.Endpoint("a").Revision
	l.report("a", 2, draining)
	l.expire("a", expected)
	assert.Equal(t, l.machine.Endpoint("a").State, draining)
}

func TestHighestVersionIsKept(t *testing.T) {
	l := newLog(t)
	l.put(5, "five")
	revision, _ := l.machine.Revision()
	l.put(5, "another five")
	l.put(4, "four")
	assert.Equal(t, string(l.machine.Document().Source), "five")
	unchanged, _ := l.machine.Revision()
	assert.Equal(t, unchanged, revision)
	l.put(9, "nine")
	assert.Equal(t, l.machine.Document().Version, int64(9))
}

// An endpoint is taken out of service to change its stage. It returns when a heartbeat
// shows the new stage, not at one sent before the change.
func TestAssignedStage(t *testing.T) {
	l := newLog(t)
	report := func(seq uint64, stage pb.Stage, slots uint32) {
		record := &pb.EndpointRecord{Id: "a", Service: "s", State: ready, Sequence: seq, Stage: stage, Slots: slots}
		l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: record}})
	}
	report(1, pb.Stage_STAGE_PREFILL, 1)
	l.assign("a", pb.Stage_STAGE_DECODE)
	assert.Equal(t, l.machine.Endpoint("a").Assigned, pb.Stage_STAGE_DECODE)
	report(2, pb.Stage_STAGE_PREFILL, 2)
	assert.Equal(t, l.machine.Endpoint("a").Assigned, pb.Stage_STAGE_DECODE)
	report(3, pb.Stage_STAGE_DECODE, 2)
	assert.Equal(t, l.machine.Endpoint("a").Assigned, pb.Stage_STAGE_UNSPECIFIED)
	l.assign("a", pb.Stage_STAGE_PREFILL)
	l.assign("a", pb.Stage_STAGE_UNSPECIFIED)
	assert.Equal(t, l.machine.Endpoint("a").Assigned, pb.Stage_STAGE_UNSPECIFIED)
}

func TestEntriesComeAndGo(t *testing.T) {
	l := newLog(t)
	report := func(e *pb.EntryRecord) {
		l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEntry{ReportEntry: e}})
	}
	report(&pb.EntryRecord{Id: "1", Name: "n", Address: "a", Ready: true})
	report(&pb.EntryRecord{Id: "2", Name: "m", Address: "b"})
	assert.Equal(t, len(l.machine.ReadyEntries()), 1)
	report(&pb.EntryRecord{Id: "3", Name: "n", Address: "a", Ready: true})
	assert.Assert(t, l.machine.Entry("1").Gone, "the previous incarnation is gone")
	assert.Equal(t, l.machine.ReadyEntries()[0].Id, "3")
	report(&pb.EntryRecord{Id: "3", Name: "n", Address: "a", Gone: true})
	assert.Equal(t, len(l.machine.ReadyEntries()), 0)
}

// Guards against shares of a common budget that add up to more than the whole: entries
// that were replaced, stopped or timed out count until they expire.
func TestGoneEntriesCountAsSenders(t *testing.T) {
	l := newLog(t)
	report := func(e *pb.EntryRecord) {
		l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEntry{ReportEntry: e}})
	}
	expire := func(id string) {
		expected := &pb.Expected{Id: id, Revision: l.machine.Entry(id).Revision}
		l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_Expire{Expire: &pb.Expire{Entries: []*pb.Expected{expected}}}})
	}
	for id, name := range map[string]string{"1": "killed", "2": "stops", "3": "silent"} {
		report(&pb.EntryRecord{Id: id, Name: name, Ready: true})
	}
	report(&pb.EntryRecord{Id: "4", Name: "killed"})
	report(&pb.EntryRecord{Id: "2", Name: "stops", Gone: true})
	expire("3")
	assert.Equal(t, len(l.machine.ReadyEntries()), 0)
	assert.Equal(t, l.machine.Senders(), 4)
	report(&pb.EntryRecord{Id: "3", Name: "silent", Ready: true})
	assert.Equal(t, l.machine.ReadyEntries()[0].Id, "3", "seen again")
	expire("1")
	expire("2")
	assert.Equal(t, l.machine.Senders(), 2)
	assert.Assert(t, l.machine.Entry("1") == nil)
}

// A member that was down restores a snapshot, and a reader with an older revision gets
// from it everything that it lacks, tombstones included.
func TestSnapshotIsComplete(t *testing.T) {
	l := newLog(t)
	l.put(3, "three")
	for n := range 20 {
		l.report(fmt.Sprint("e", n), 1, ready)
	}
	held, _ := l.machine.Revision()
	l.retire("e7")
	data, err := l.machine.Snapshot()
	assert.NilError(t, err)
	other := NewMachine()
	assert.NilError(t, other.Restore(l.index, data))
	delta := other.Since(3, held)
	assert.Equal(t, len(delta.Endpoints), 1)
	assert.Equal(t, delta.Endpoints[0].State, gone)
	assert.Assert(t, delta.Outline == nil)
	assert.Equal(t, other.Since(0, 0).Outline.Version, int64(3))
	again, err := other.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, len(again), len(data))
}

// A command that can't be decoded changes nothing and doesn't stop the machine.
func TestUndecodableCommand(t *testing.T) {
	l := newLog(t)
	l.put(1, "one")
	l.index++
	l.machine.Apply(l.index, []byte{0xff, 0xff})
	assert.Equal(t, l.machine.Document().Version, int64(1))
	assert.Equal(t, l.machine.Applied(), l.index)
}

func TestTombstonesAreBounded(t *testing.T) {
	l := newLog(t)
	for n := range maxTombstones + 10 {
		l.retire(fmt.Sprint(n))
	}
	endpoints, _ := l.machine.Records()
	assert.Equal(t, len(endpoints), maxTombstones)
	assert.Assert(t, l.machine.Endpoint("0") == nil)
}

// The list of changes gives the same result as a scan of all records, after random
// commands.
func TestSinceAgreesWithAScan(t *testing.T) {
	l := newLog(t)
	random := rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		id := fmt.Sprint(random.IntN(30))
		switch random.IntN(4) {
		case 0:
			l.retire(fmt.Sprint(random.IntN(300)))
		case 1:
			l.expire(id, l.machine.Endpoint(id).GetRevision())
		case 2:
			l.assign(id, pb.Stage_STAGE_DECODE)
		default:
			l.report(id, uint64(n), ready)
		}
		held := uint64(random.IntN(int(l.index) + 1))
		want := map[string]bool{}
		all, _ := l.machine.Records()
		for _, e := range all {
			if e.Revision > held {
				want[e.Id] = true
			}
		}
		got := map[string]bool{}
		for more := true; more; {
			delta := l.machine.Since(0, held)
			for _, e := range delta.Endpoints {
				assert.Assert(t, !got[e.Id], "twice")
				got[e.Id] = true
			}
			held, more = delta.Revision, delta.More
		}
		assert.DeepEqual(t, got, want)
	}
	assert.Assert(t, len(l.machine.changes.changes) <= maxListRatio*len(l.machine.endpoints)+maxListRatio)
}

func BenchmarkSince(b *testing.B) {
	m := NewMachine()
	for n := range 12000 {
		r := &pb.EndpointRecord{Id: fmt.Sprint(n), State: ready, Sequence: 1}
		data, err := proto.Marshal(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: r}})
		assert.NilError(b, err)
		m.Apply(uint64(n+1), data)
	}
	for b.Loop() {
		m.Since(0, 11990)
	}
}

// A reader without any records gets a large fleet in several Deltas, and all records of a
// command that changed many.
func TestLargeFleetIsSplitIntoDeltas(t *testing.T) {
	l := newLog(t)
	const endpoints = 3*maxDeltaRecords + 7
	expire := &pb.Expire{}
	for n := range endpoints {
		l.report(fmt.Sprint(n), 1, ready)
		if n%2 == 0 {
			expire.Endpoints = append(expire.Endpoints, &pb.Expected{Id: fmt.Sprint(n), Revision: l.index})
		}
	}
	l.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_Expire{Expire: expire}})
	got := map[string]bool{}
	parts, held := 0, uint64(0)
	for more := true; more; parts++ {
		delta := l.machine.Since(0, held)
		for _, e := range delta.Endpoints {
			got[e.Id] = true
		}
		assert.Assert(t, delta.Revision > held)
		held, more = delta.Revision, delta.More
	}
	assert.Equal(t, len(got), endpoints)
	assert.Assert(t, parts > 1)
	revision, _ := l.machine.Revision()
	assert.Equal(t, held, revision)
}
