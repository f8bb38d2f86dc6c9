package replica

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// reopenPause is the wait before a folder that could not be opened is tried
// again. A disk that was full or stalled works again within seconds.
const reopenPause = 500 * time.Millisecond

// NewPatient is New for a disk that may refuse for a while: it tries until the
// folder opens or ctx ends, and the Node reopens it after a failed write. A folder that can't be trusted is not tried again.
//
// Failure: a full disk refuses the first write of a start. A process that ends
// then is started again and again, at the cost of a start each time, and is
// held back by its supervisor just when the disk works again.
func NewPatient(ctx context.Context, options Options) (*Node, error) {
	options.Reopen = true
	for {
		node, err := New(options)
		var corrupt *storage.ErrCorrupt
		if err == nil || errors.As(err, &corrupt) || trace.IsBadParameter(err) {
			return node, err
		}
		options.Part.Warn("The data folder can't be opened; trying again.", "err", err)
		if !sleep.For(ctx, reopenPause) {
			return nil, trace.Wrap(ctx.Err(), "the data folder could not be opened: %v", err)
		}
	}
}
