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

// An endpoint starts again under its ID while the leader changes. Heartbeats
// of before that are still under way must neither bring its old address back
// nor keep it alive once the new one has died.
func TestOldHeartbeatsDontKeepANewIncarnationAlive(t *testing.T) {
	runFleet(t, 3, func(t *testing.T, f *fleet) {
		f.formed()
		known := func() *pb.EndpointRecord { return f.instances[0].machine.Endpoint("e") }
		report := func(n int, r *pb.EndpointRecord) error {
			return f.instances[n].ReportEndpoint(f.within(time.Second), r)
		}
		assert.NilError(t, report(0, endpointRecord(100, 40, "a:1")))
		f.restart(f.leader(f.instances...), false)
		f.await(4*time.Second, "the new start", func() bool { return report(1, endpointRecord(200, 1, "b:1")) == nil })
		f.await(time.Second, "the new start everywhere", func() bool { return known().GetBorn() == 200 })
		assert.ErrorIs(t, report(0, endpointRecord(200, 2, "c:1")), ErrContradiction)
		seq := uint64(41)
		f.await(10*time.Second, "silent", func() bool {
			seq++
			_ = report(int(seq%3), endpointRecord(100, seq, "a:1"))
			return known().State == pb.EndpointState_ENDPOINT_STATE_SILENT
		})
		assert.Equal(t, known().Address, "b:1")
	})
}

// restartedOrders answers as an endpoint that has started again.
type restartedOrders struct {
	asked, given atomic.Int32
}

func (o *restartedOrders) Status(context.Context, *pb.EndpointRecord) (EndpointStatus, error) {
	o.asked.Add(1)
	return EndpointStatus{Stage: pb.Stage_STAGE_PREFILL, Born: 200}, nil
}

func (o *restartedOrders) ChangeStage(context.Context, *pb.EndpointRecord, StageOrder) error {
	o.given.Add(1)
	return nil
}

// An endpoint starts again under its ID, at its old stage and with no order
// accepted, before its first heartbeat is taken in. An order that was meant for
// the one before must not reach it: it may serve another purpose now.
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
		assert.Equal(t, orders.given.Load(), int32(0))
	})
}
