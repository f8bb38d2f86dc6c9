package connguard

import "errors"

// Reasons why a connection ends.
var (
	// ErrNoMemory: there is no memory for what the client sends.
	ErrNoMemory = errors.New("no memory for the request now")
	// ErrEvicted: the connection was closed to make room for others.
	ErrEvicted = errors.New("the connection was closed to make room for others")
	// ErrTooSlow: the client is too slow to send its request.
	ErrTooSlow = errors.New("the request arrives too slowly")
	// ErrHeadTooLarge: the head of the request is over the limit.
	ErrHeadTooLarge = errors.New("the head of the request is over the limit")
	// errNotTaken: the client doesn't take the response.
	errNotTaken = errors.New("the response isn't taken")
	// errFull: all connections are being served.
	errFull = errors.New("all connections are being served")
)

// reasonOf returns the label of metrics and the text of logs for a reason.
func reasonOf(err error) string {
	switch {
	case errors.Is(err, ErrNoMemory):
		return "memory"
	case errors.Is(err, ErrEvicted):
		return "evicted"
	case errors.Is(err, ErrTooSlow):
		return "slow"
	case errors.Is(err, ErrHeadTooLarge):
		return "head"
	case errors.Is(err, errNotTaken):
		return "not-taken"
	}
	return "full"
}
