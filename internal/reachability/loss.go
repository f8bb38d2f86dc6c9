package reachability

import (
	"context"
	"errors"
	"os"
	"syscall"
)

// Loss is how a link shows that it is lost.
type Loss int

// Losses.
const (
	NotLost Loss = iota
	// Unanswered: a new connection got no answer in time.
	Unanswered
	// Refused: a new connection was refused.
	Refused
)

// String implements fmt.Stringer.
func (l Loss) String() string {
	switch l {
	case Unanswered:
		return "unanswered"
	case Refused:
		return "refused"
	}
	return "none"
}

// isUnreachable reports whether the network said that it has no way to the endpoint.
func isUnreachable(err error) bool {
	return errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// LossOfDial returns what the error of a failed dial shows. A dial that was canceled before
// its timeout shows nothing.
func LossOfDial(err error) Loss {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return NotLost
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT),
		isUnreachable(err):
		return Unanswered
	}
	return NotLost
}
