package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/storage/faultfs"
)

// A disk is full when its instance starts, and has room again seconds later.
// The process waits for it; ending each time would cost a start each.
func TestStartOnAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		disk.SetCapacity(1)
		options := Options{InstanceID: "a", RPCAddress: "a", Dir: "data", FS: disk, Machine: &journal{}, Transport: port{&link{}, "a"}}
		go func() {
			time.Sleep(4 * time.Second)
			disk.SetCapacity(0)
		}()
		began := time.Now()
		node, err := NewPatient(t.Context(), options)
		assert.NilError(t, err)
		assert.Assert(t, node.DiskID() != "")
		assert.Assert(t, time.Since(began) < 5*time.Second)

		disk = faultfs.New()
		disk.SetCapacity(1)
		options.FS = disk
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err = NewPatient(ctx, options)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = NewPatient(t.Context(), Options{})
		assert.Assert(t, err != nil, "settings that can't be right are no disk's fault")
	})
}

// A disk becomes full while its instance works alone, and has room again seconds
// later. What was asked meanwhile is not confirmed; the same process takes the
// next change.
func TestPatientNodeOutlivesAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		node, err := NewPatient(t.Context(), Options{
			InstanceID: "a", RPCAddress: "a", Dir: "data", FS: disk, Machine: &journal{}, Transport: port{&link{}, "a"},
		})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- node.Run(ctx) }()
		member := &pb.Member{InstanceId: "a", DiskId: node.DiskID(), RpcAddress: "a"}
		assert.NilError(t, node.Init("fleet", []*pb.Member{member}))
		time.Sleep(3 * time.Second)
		_, err = node.Propose(short(t), []byte("before"))
		assert.NilError(t, err)

		disk.SetCapacity(1)
		_, err = node.Propose(short(t), []byte("caught"))
		assert.ErrorIs(t, err, ErrUncertain)
		_, err = node.Propose(short(t), []byte("refused"))
		assert.ErrorIs(t, err, ErrStorage)
		disk.SetCapacity(0)
		time.Sleep(3 * time.Second)
		_, err = node.Propose(short(t), []byte("after"))
		assert.NilError(t, err)
		stop()
		assert.NilError(t, <-ended)
	})
}
