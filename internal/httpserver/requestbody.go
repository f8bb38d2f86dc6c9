package httpserver

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

const (
	// defaultBodyTimeout bounds the arrival of a body whose sender doesn't say how long it waits.
	defaultBodyTimeout = 30 * time.Second
	// MemoryRetryAfter is when a sender may come back whose body found no memory: most requests
	// end sooner, and with them their bodies.
	MemoryRetryAfter = time.Second
)

// BodyLimits bounds the bodies of requests.
type BodyLimits struct {
	Reads *readlimit.Guard // nil for no bound on their memory
	Bytes int64            // of one body
}

// Errors of a request whose body was not read, other than those of its connection.
var (
	ErrBodyTooLarge = errors.New("the body is over the limit")
	ErrBodyLate     = errors.New("the body did not arrive in time")
	ErrNoMemory     = errors.New("no memory for the body now")
)

// ErrorStatus returns the status of a response to a request whose body was not read: the sender may
// repeat one that found no memory elsewhere.
func ErrorStatus(err error) int {
	if errors.Is(err, ErrNoMemory) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// Read reads the body of a request within a time, 0 for the usual one, and returns what accounts
// for its memory, which the caller must release. After an error the connection is closed: the
// rest of the body may never end.
func (l BodyLimits) Read(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, *readlimit.Hold, error) {
	peer := hostOf(r.RemoteAddr)
	held := l.Reads.Hold(peer, readlimit.Body)
	if r.ContentLength == 0 {
		return nil, held, nil
	}
	body, err := l.readInTime(w, r, held, timeout)
	if err == nil {
		return body, held, nil
	}
	held.Release()
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var exceeded *readlimit.Exceeded
	switch {
	case errors.As(err, &tooLarge):
		_ = l.Reads.Exceeded(peer, readlimit.Body, max(r.ContentLength, l.Bytes+1), l.Bytes) // the caller is told the same
		return nil, held, ErrBodyTooLarge
	case errors.As(err, &exceeded):
		return nil, held, ErrNoMemory
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, held, ErrBodyLate
	}
	return nil, held, err
}

func (l BodyLimits) readInTime(w http.ResponseWriter, r *http.Request, held *readlimit.Hold, timeout time.Duration) ([]byte, error) {
	if r.ContentLength > l.Bytes {
		return nil, &http.MaxBytesError{Limit: l.Bytes}
	}
	control := http.NewResponseController(w)
	// Only writers of tests know no deadlines.
	_ = control.SetReadDeadline(time.Now().Add(cmp.Or(timeout, defaultBodyTimeout)))
	body, err := held.ReadAll(http.MaxBytesReader(w, r.Body, l.Bytes), max(r.ContentLength, 0))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// hostOf returns the host of an address, or all of what is no address.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
