package httpconn

import (
	"io"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// maxHeadBytes bounds the head of a response, with the interim responses before it. The parser
// keeps an unfinished line whatever its length. It is some ten times a usual head.
const maxHeadBytes = 64 << 10

// headReader bounds the bytes of a connection that are read while the head of a response is
// incomplete, and accounts for them: the parser holds them until then.
type headReader struct {
	from  io.Reader
	reads *readlimit.Guard
	peer  string
	held  *readlimit.Hold // nil while no head is read
	read  int64           // bytes of the current head
	err   error           // of type *readlimit.Exceeded; nil while no bound is met
}

// begin makes the next bytes count as those of a head from a peer.
func (r *headReader) begin(reads *readlimit.Guard, peer string) {
	r.reads, r.peer, r.held, r.read = reads, peer, reads.Hold(peer, readlimit.Head), 0
}

// end makes the next bytes count as those of a body.
func (r *headReader) end() {
	r.held.Release()
	r.held = nil
}

// Read implements io.Reader. A head that needs more than maxHeadBytes ends with an error, which
// is kept in r.err: a parser takes it for the end of a line, and returns an error of its own.
func (r *headReader) Read(p []byte) (int, error) {
	if r.held == nil {
		return r.from.Read(p)
	}
	if r.err == nil && r.read >= maxHeadBytes {
		r.err = r.reads.Exceeded(r.peer, readlimit.Head, r.read, maxHeadBytes)
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.from.Read(p[:min(int64(len(p)), maxHeadBytes-r.read)])
	r.read += int64(n)
	if r.err = r.held.Resize(r.read); r.err != nil {
		return n, r.err
	}
	return n, err
}
