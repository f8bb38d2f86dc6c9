package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/hyssopsail/hyssopsail/internal/responsehead"
)

// Response is the status and header of a response; Read returns its body. io.EOF from
// Read means that the body is complete; a truncated body ends with another error.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, bytes; -1 if unknown
	// CloseDelimited reports that the body has neither a length nor chunks and ends with
	// the connection (RFC 9112, section 6.3).
	CloseDelimited bool

	conn           *conn
	head           *http.Response
	pool           *Pool
	body           io.Reader
	closeRequested bool
	complete       bool
	failed         bool
	stopCancel     func() bool
}

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = r.checkEnd()
	}
	if errors.Is(err, io.EOF) {
		r.complete = true
	} else {
		r.failed = true
	}
	return n, err
}

// errClosed is why a body is incomplete whose connection was closed on this side.
var errClosed = fmt.Errorf("the connection was closed here: %w", io.ErrUnexpectedEOF)

// checkEnd returns io.EOF if the body that has just ended is complete, and another error, which is
// not io.EOF, if it isn't or if its trailer is malformed.
func (r *Response) checkEnd() error {
	if r.conn.isClosed.Load() {
		return errClosed
	}
	if r.CloseDelimited {
		if err := r.conn.upload.CheckEnd(); err != nil {
			return err
		}
	}
	if err := responsehead.CheckTrailer(r.head); err != nil {
		return err
	}
	return io.EOF
}

// Close ends the exchange. The connection is kept for reuse if the response was read
// completely, and closed otherwise, so that the endpoint can stop its work.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	alive := r.stopCancel()
	if !alive || !r.complete || r.failed || r.closeRequested || !c.upload.IsWritten() || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	r.pool.putIdle(c, keepAliveTimeout(r.Header))
}
