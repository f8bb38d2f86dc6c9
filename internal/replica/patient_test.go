package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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
