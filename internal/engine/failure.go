package engine

import (
	"errors"
	"fmt"
)

// The causes in an Error, for errors.Is.
var (
	// ErrGate says that the gate refused the send.
	ErrGate = errors.New("gate refused")
	// ErrAttempt says that an answer belongs to another attempt.
	ErrAttempt = errors.New("answer of another attempt")
	// ErrIncarnation says that an answer comes from another process of the
	// endpoint than the one asked.
	ErrIncarnation = errors.New("answer of another incarnation")
	// ErrEarlier says that an answer comes from an earlier process of the
	// endpoint: it is late, and tells nothing against the process of now.
	ErrEarlier = fmt.Errorf("%w, an earlier one", ErrIncarnation)
	// ErrGap says that tokens are missing before a chunk.
	ErrGap = errors.New("tokens missing in stream")
	// ErrRepeat says that a chunk holds tokens that were given before.
	ErrRepeat = errors.New("tokens repeated in stream")
	// ErrMalformed says that an answer can't be read.
	ErrMalformed = errors.New("malformed answer")
	// ErrOversized says that a body or line is over its bound.
	ErrOversized = errors.New("over the size bound")
	// ErrBroken says that a stream ended before its last chunk.
	ErrBroken = errors.New("stream ended early")
	// ErrIdle says that an endpoint was silent for too long.
	ErrIdle = errors.New("endpoint silent too long")
	// ErrAddress says that a target's address or a call's path isn't one that
	// may be sent to.
	ErrAddress = errors.New("address or path not allowed")
)
