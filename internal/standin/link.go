package standin

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// linkSlice is the time that one piece of a transfer takes at the whole rate.
// Transfers that run at once take turns by such pieces, and so share the rate.
const linkSlice = 5 * time.Millisecond

// link is one direction of an engine's network link.
type link struct {
	rate int64 // bytes a second

	mu   sync.Mutex
	free time.Time
}

func newLink(rate int64) *link { return &link{rate: rate} }

// piece gives the bytes of one piece.
func (l *link) piece() int64 {
	return max(1, l.rate*int64(linkSlice)/int64(time.Second))
}

// pass waits until so many bytes have passed; false when ctx ended first.
func (l *link) pass(ctx context.Context, bytes int64) bool {
	return sleep.For(ctx, time.Until(l.reserve(time.Now(), bytes)))
}

func (l *link) reserve(now time.Time, bytes int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second)))
	return l.free
}
