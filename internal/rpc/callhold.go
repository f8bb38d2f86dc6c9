package rpc

import (
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// callHold accounts for what a connection receives in one call: the messages of a call are held
// until it ends. Its zero value accounts for nothing.
type callHold struct {
	mu   sync.Mutex // guards the fields below; the connection is read by a goroutine of its own
	held *readlimit.Hold
	read int64 // bytes
}

// begin begins a call with a peer, or the wait for one.
func (h *callHold) begin(reads *readlimit.Guard, peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.Release()
	h.held, h.read = reads.Hold(peer, readlimit.Call), 0
}

// add accounts for received bytes. After an error, of type *readlimit.Exceeded, the connection
// must be closed.
func (h *callHold) add(n int) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held == nil {
		return nil
	}
	h.read += int64(n)
	return h.held.Resize(h.read)
}

// end ends a call.
func (h *callHold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.Release()
	h.held = nil
}
