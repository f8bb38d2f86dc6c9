package readlimit

import (
	"errors"
	"io"
	"slices"
)

// Hold is the memory that one unfinished read holds. It is for one goroutine at a time; its
// zero value accounts for nothing.
type Hold struct {
	guard *Guard
	peer  string
	part  Part
	bytes int64
}

// Resize sets how many bytes the read holds. It returns an *Exceeded, and changes nothing, if
// that is more than the Guard allows.
func (h *Hold) Resize(bytes int64) error {
	if h == nil || h.guard == nil || bytes == h.bytes {
		return nil
	}
	g := h.guard
	free := g.options.FreeBytes
	if more := max(0, bytes-free) - max(0, h.bytes-free); more != 0 {
		if bound := g.reserve(h.peer, more); bound > 0 {
			return g.Record(&Exceeded{Peer: h.peer, Part: h.part, Bytes: bytes, Bound: bound, Memory: true})
		}
		g.options.Metrics.Held(g.options.Peers, h.part).Add(float64(more))
	}
	h.bytes = bytes
	return nil
}

// Release ends the read: it holds nothing any more. It may be called twice.
func (h *Hold) Release() { _ = h.Resize(0) } // holding less is always allowed

// minReadBytes is the least room for one read.
const minReadBytes = 512

// ReadAll reads all of from, and accounts for the buffer as it grows. size is that of the bytes
// to come, 0 if it is not known. If there is no memory, ReadAll returns what has been read, and
// an *Exceeded.
func (h *Hold) ReadAll(from io.Reader, size int64) ([]byte, error) {
	var data []byte
	for room := size + minReadBytes; ; room = 2 * int64(cap(data)) {
		if err := h.Resize(room); err != nil {
			return data, err
		}
		data = slices.Grow(data, int(room)-len(data))
		for len(data) < cap(data) {
			n, err := from.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if errors.Is(err, io.EOF) {
				return data, nil
			}
			if err != nil {
				return data, err
			}
		}
	}
}
