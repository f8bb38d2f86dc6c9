package standin

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// linkPieceTime is the time to send one piece of a transfer at the full rate.
// Concurrent transfers take turns piece by piece, and so share the rate.
const linkPieceTime = 5 * time.Millisecond

// link emulates one direction of an engine's network link.
type link struct {
	bytesPerSecond int64

	mu     sync.Mutex
	freeAt time.Time
}

func newLink(bytesPerSecond int64) *link { return &link{bytesPerSecond: bytesPerSecond} }

// pieceBytes returns the size of one piece in bytes.
func (l *link) pieceBytes() int64 {
	return max(1, l.bytesPerSecond*int64(linkPieceTime)/int64(time.Second))
}

// transfer waits for the time that the link needs for the bytes. It returns false
// if ctx ends first.
func (l *link) transfer(ctx context.Context, bytes int64) bool {
	return sleep.For(ctx, time.Until(l.reserve(time.Now(), bytes)))
}

func (l *link) reserve(now time.Time, bytes int64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / float64(l.bytesPerSecond) * float64(time.Second)))
	return l.freeAt
}
