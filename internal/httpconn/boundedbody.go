package httpconn

import (
	"io"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// defaultMaxBodyBytes is the bound of a response body where no other is set: a body above it
// would take a link of 1 Gbit/s for more than two seconds.
const defaultMaxBodyBytes = 256 << 20

// boundedBody bounds the body of a response, which may be chunked, or end with the connection,
// and so have no end.
type boundedBody struct {
	from  io.Reader
	reads *readlimit.Guard
	peer  string
	bound int64
	read  int64
}

// Read implements io.Reader. A body of more than the bound ends with a *readlimit.Exceeded.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.read += int64(n)
	if b.read > b.bound {
		return 0, b.reads.Exceeded(b.peer, readlimit.Body, b.read, b.bound)
	}
	return n, err
}
