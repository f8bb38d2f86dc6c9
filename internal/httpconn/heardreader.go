package httpconn

import (
	"io"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
)

// heardReader records in a link that bytes arrive.
type heardReader struct {
	from io.Reader
	link *reachability.Link
}

// Read implements io.Reader.
func (r heardReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		r.link.Heard(time.Now())
	}
	return n, err
}
