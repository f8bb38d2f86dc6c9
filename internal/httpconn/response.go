package httpconn

import (
	"errors"
	"io"
	"net/http"
)

// Response is the head of an answer; Read gives its body. Read's io.EOF means
// that the body is whole; a body that was cut off ends with another error.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 when it is not known

	conn   *conn
	pool   *Pool
	body   io.ReadCloser
	closes bool
	whole  bool
	failed bool
	stop   func() bool
}

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) && !r.conn.broken.Load() {
		r.whole = true
	} else {
		r.failed = true
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// Close ends the exchange: the connection is kept if the answer was whole, and
// closed otherwise, which tells the endpoint to stop.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	alive := r.stop()
	if !alive || !r.whole || r.failed || r.closes || !c.bodySent() || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	r.pool.keep(c, idleLimit(r.Header))
}
