package coordinator

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// historyFixture applies commands to a catalog and reads it as a control instance does.
type historyFixture struct {
	t       *testing.T
	machine *catalog.Machine
	history *softwareHistory
	index   uint64
	now     time.Time
}

func newHistoryFixture(t *testing.T) *historyFixture {
	return &historyFixture{t: t, machine: catalog.NewMachine(), history: &softwareHistory{}, now: time.Unix(1_000_000, 0)}
}

func (fx *historyFixture) apply(c *pb.CatalogCommand) {
	data, err := proto.Marshal(c)
	assert.NilError(fx.t, err)
	fx.index++
	fx.machine.Apply(fx.index, data)
}

// report applies the first heartbeat of a process; born orders those of one ID.
func (fx *historyFixture) report(id, software string, born uint64) {
	fx.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_ReportEndpoint{ReportEndpoint: &pb.EndpointRecord{
		Id: id, Service: "s", Address: "10.0.0.1:" + id, Zone: "z", Software: software, Slots: 1, Born: born, Sequence: 1,
		State: pb.EndpointState_ENDPOINT_STATE_READY,
	}}})
}

func (fx *historyFixture) retire(id string) {
	fx.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_RetireEndpoint{RetireEndpoint: &pb.RetireEndpoint{Id: id}}})
}

// restart replaces the control instance by one that has the same catalog, from a snapshot.
func (fx *historyFixture) restart() {
	data, err := fx.machine.Snapshot()
	assert.NilError(fx.t, err)
	fx.machine = catalog.NewMachine()
	assert.NilError(fx.t, fx.machine.Restore(fx.index, data))
	fx.history = &softwareHistory{}
}

func (fx *historyFixture) read() {
	fx.history.mu.Lock()
	defer fx.history.mu.Unlock()
	fx.history.update(fx.machine, fx.now)
}

func (fx *historyFixture) pass(d time.Duration) {
	fx.read()
	fx.now = fx.now.Add(d)
}

func (fx *historyFixture) sole(within time.Duration) string {
	fx.read()
	version, _ := fx.history.sole("s", fx.now.Add(-within))
	return version
}

// Guards against a version that is taken for the only one while streams of another may be under
// way: its endpoints have just left, restarted under their IDs, are silent, or did so before the
// control instance started.
func TestOnlyVersionOfAService(t *testing.T) {
	const within = 28 * time.Second
	fx := newHistoryFixture(t)
	assert.Equal(t, fx.sole(within), "", "no endpoint is known")
	fx.report("1", "v1", 10)
	fx.report("2", "v1", 10)
	assert.Equal(t, fx.sole(within), "v1")
	fx.report("3", "v2", 20)
	assert.Equal(t, fx.sole(within), "")
	fx.retire("1")
	fx.report("2", "v2", 30)
	fx.pass(within)
	assert.Equal(t, fx.sole(within), "", "v1 may have begun streams that are still resumed")
	fx.pass(time.Millisecond)
	assert.Equal(t, fx.sole(within), "v2")
	fx.restart()
	assert.Equal(t, fx.sole(within), "", "it isn't known when v1 ended")
	fx.pass(within + time.Millisecond)
	assert.Equal(t, fx.sole(within), "v2")
	fx.apply(&pb.CatalogCommand{Kind: &pb.CatalogCommand_Expire{Expire: &pb.Expire{Endpoints: []*pb.Expected{{Id: "2", Revision: fx.machine.Endpoint("2").Revision}}}}})
	fx.report("4", "v3", 10)
	fx.retire("3")
	fx.pass(within + time.Millisecond)
	assert.Equal(t, fx.sole(within), "", "a silent endpoint of v2 may serve entries that are cut off")
	fx.retire("2")
	fx.pass(within + time.Millisecond)
	assert.Equal(t, fx.sole(within), "v3")
}

// Guards against a stream that is taken for one of the process before: the endpoint had started
// again, with other software, and had not yet registered.
func TestEndpointThatStartedAgainMayHaveRunOther(t *testing.T) {
	fx := newHistoryFixture(t)
	fx.report("1", "v1", 10)
	fx.report("2", "v1", 10)
	fx.pass(time.Minute)
	long := fx.now
	fx.pass(registrationDelay)
	recent := fx.now
	fx.pass(time.Second)
	fx.report("1", "v2", 20)
	fx.pass(time.Second)
	ran := func(id, version string, at time.Time) bool {
		fx.read()
		return fx.history.mayHaveRunOther(streamorigin.SumOf(id), version, at)
	}
	assert.Assert(t, !ran("1", "v1", long))
	assert.Assert(t, ran("1", "v1", recent))
	assert.Assert(t, !ran("1", "v2", fx.now))
	assert.Assert(t, !ran("2", "v1", fx.now))
	assert.Assert(t, ran("2", "v2", fx.now), "an entry has recorded what this instance never saw")
	between := fx.now
	fx.pass(time.Minute)
	fx.report("1", "v1", 30)
	fx.pass(time.Minute)
	assert.Assert(t, ran("1", "v1", between), "it has the version again")
	assert.Assert(t, !ran("1", "v1", fx.now))
	fx.report("1", "v2", 40)
	fx.restart()
	assert.Assert(t, ran("1", "v1", fx.now), "it isn't known when the version changed")
	fx.retire("1")
	assert.Assert(t, ran("1", "v1", fx.now), "the endpoint has left since")
	fx.retire("2")
	assert.Assert(t, !ran("2", "v1", fx.now))
}
