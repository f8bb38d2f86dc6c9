package responsehead

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// writeEndWait is how long the end of a request's body may take to show after that of its response: the
// endpoint has read all of it before it closes the connection, and only the writer has not run yet.
const writeEndWait = 50 * time.Millisecond

// errUnwritten is why a response is incomplete whose connection ended before its request was written.
var errUnwritten = fmt.Errorf("the connection ended before the request was written: %w", io.ErrUnexpectedEOF)

// Upload is the body of a request while it is written beside the reading of the response. It is safe
// for concurrent use.
type Upload struct {
	once  sync.Once
	ended chan struct{}
	err   error // set before ended is closed
}

// NewUpload returns an Upload that has not ended.
func NewUpload() *Upload { return &Upload{ended: make(chan struct{})} }

// End records that the body was written, or why it was not; only the first call counts.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.ended)
	})
}

// IsWritten reports whether the whole body was written by now; a nil Upload was.
func (u *Upload) IsWritten() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// CheckEnd returns an error that wraps io.ErrUnexpectedEOF if the end of a connection that just showed
// may be a reset, which only the writer of the request was told.
func (u *Upload) CheckEnd() error {
	if u == nil {
		return nil
	}
	select {
	case <-u.ended:
	case <-time.After(writeEndWait):
	}
	if !u.IsWritten() {
		return errUnwritten
	}
	return nil
}
