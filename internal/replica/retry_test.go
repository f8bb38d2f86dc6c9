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

// A disk is full when its instance starts, and has space again seconds later. The
// process must wait for it instead of exiting, which would cause restarts.
func TestStartOnFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		disk.SetCapacity(1)
		options := Options{InstanceID: "a", RPCAddress: "a", Dir: "data", FS: disk, Machine: &commandLog{}, Transport: linkTransport{&link{}, "a"}}
		go func() {
			time.Sleep(4 * time.Second)
			disk.SetCapacity(0)
		}()
		began := time.Now()
		node, err := NewWithRetry(t.Context(), options)
		assert.NilError(t, err)
		assert.Assert(t, node.DiskID() != "")
		assert.Assert(t, time.Since(began) < 5*time.Second)

		disk = faultfs.New()
		disk.SetCapacity(1)
		options.FS = disk
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err = NewWithRetry(ctx, options)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		_, err = NewWithRetry(t.Context(), Options{})
		assert.Assert(t, err != nil, "invalid options must not be retried")
	})
}

// The disk of the only member becomes full, and has space again seconds later.
// Changes proposed meanwhile must not be confirmed, and the same process must
// accept the next change.
func TestRunningNodeRecoversFromFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		node, err := NewWithRetry(t.Context(), Options{
			InstanceID: "a", RPCAddress: "a", Dir: "data", FS: disk, Machine: &commandLog{}, Transport: linkTransport{&link{}, "a"},
		})
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- node.Run(ctx) }()
		member := &pb.Member{InstanceId: "a", DiskId: node.DiskID(), RpcAddress: "a"}
		assert.NilError(t, node.Init("fleet", []*pb.Member{member}))
		time.Sleep(3 * time.Second)
		_, err = node.Propose(shortContext(t), []byte("before"))
		assert.NilError(t, err)

		disk.SetCapacity(1)
		_, err = node.Propose(shortContext(t), []byte("caught"))
		assert.ErrorIs(t, err, ErrUncertain)
		_, err = node.Propose(shortContext(t), []byte("refused"))
		assert.ErrorIs(t, err, ErrStorage)
		disk.SetCapacity(0)
		time.Sleep(3 * time.Second)
		_, err = node.Propose(shortContext(t), []byte("after"))
		assert.NilError(t, err)
		stop()
		assert.NilError(t, <-ended)
	})
}
