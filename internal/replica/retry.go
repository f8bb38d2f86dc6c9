package replica

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// reopenRetryInterval is the time between attempts to open the data folder. A
// full or stalled disk often works again within seconds.
const reopenRetryInterval = 500 * time.Millisecond

// NewWithRetry is like New, but retries until the folder opens or ctx ends, and
// sets Options.Reopen. It doesn't retry for a corrupt folder or invalid options.
//
// A full disk fails the first write of a start. If the process ended, it would
// be restarted repeatedly, and its supervisor would delay the restart just when
// the disk works again.
func NewWithRetry(ctx context.Context, options Options) (*Node, error) {
	options.Reopen = true
	for {
		node, err := New(options)
		var corrupt *storage.ErrCorrupt
		if err == nil || errors.As(err, &corrupt) || trace.IsBadParameter(err) {
			return node, err
		}
		options.Part.Warn("Can't open the data folder; retrying.", "err", err)
		if !sleep.For(ctx, reopenRetryInterval) {
			return nil, trace.Wrap(ctx.Err(), "the data folder could not be opened: %v", err)
		}
	}
}
