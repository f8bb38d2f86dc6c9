package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func endpointRecord(born, seq uint64, address string) *pb.EndpointRecord {
	return &pb.EndpointRecord{
		Id: "e", Service: "s", Address: address, Zone: "z", State: pb.EndpointState_ENDPOINT_STATE_READY, Sequence: seq, Born: born,
	}
}

// An endpoint restarts under its ID while the leader changes. Delayed heartbeats of the
// previous incarnation must neither restore its old address nor keep the endpoint alive
// once the new incarnation has died.
func TestOldHeartbeatsDontKeepANewIncarnationAlive(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.formed()
		known := func() *pb.EndpointRecord { return f.instances[0].machine.Endpoint("e") }
		report := func(n int, r *pb.EndpointRecord) error {
			return f.instances[n].ReportEndpoint(f.within(time.Second), r)
		}
		assert.NilError(t, report(0, endpointRecord(100, 40, "a:1")))
		f.restart(f.leader(f.instances...), false)
		f.await(4*time.Second, "the new incarnation", func() bool { return report(1, endpointRecord(200, 1, "b:1")) == nil })
		f.await(time.Second, "the new incarnation everywhere", func() bool { return known().GetBorn() == 200 })
		assert.ErrorIs(t, report(0, endpointRecord(200, 2, "c:1")), ErrConflictingHeartbeat)
		seq := uint64(41)
		f.await(10*time.Second, "silent", func() bool {
			seq++
			_ = report(int(seq%3), endpointRecord(100, seq, "a:1"))
			return known().State == pb.EndpointState_ENDPOINT_STATE_SILENT
		})
		assert.Equal(t, known().Address, "b:1")
	})
}

// restartedOrders answers for an endpoint that has restarted.
type restartedOrders struct {
	asked, sent atomic.Int32
}

func (o *restartedOrders) Status(context.Context, *pb.EndpointRecord) (EndpointStatus, error) {
	o.asked.Add(1)
	return EndpointStatus{Stage: pb.Stage_STAGE_PREFILL, Born: 200}, nil
}

func (o *restartedOrders) ChangeStage(context.Context, *pb.EndpointRecord, StageOrder) error {
	o.sent.Add(1)
	return nil
}

// An endpoint restarts under its ID, at its old stage and without accepted orders, before
// its first heartbeat is processed. An order meant for the previous incarnation must not
// reach the new one, which may serve another purpose.
func TestOrdersAreForOneIncarnation(t *testing.T) {
	orders := &restartedOrders{}
	runFleetWith(t, 3, orders, func(t *testing.T, f *fleet) {
		f.formed()
		for n := range 30 {
			for e := range 8 {
				r := &pb.EndpointRecord{
					Id: string(rune('a' + e)), Service: "s", Address: string(rune('a'+e)) + ":1", State: pb.EndpointState_ENDPOINT_STATE_READY,
					Stage: pb.Stage_STAGE_PREFILL, Sequence: uint64(n + 1), Born: 100,
				}
				_ = f.instances[n%3].ReportEndpoint(f.within(time.Second), r)
			}
			time.Sleep(500 * time.Millisecond)
		}
		assert.Assert(t, orders.asked.Load() > 0)
		assert.Equal(t, orders.sent.Load(), int32(0))
	})
}
