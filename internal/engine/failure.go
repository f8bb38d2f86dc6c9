package engine

import (
	"errors"
	"fmt"
)

// The causes in an Error, for errors.Is.
var (
	// ErrGate means that the gate refused the send.
	ErrGate = errors.New("gate refused")
	// ErrAttempt means that an answer belongs to another attempt.
	ErrAttempt = errors.New("answer of another attempt")
	// ErrIncarnation means that an answer comes from another incarnation of the
	// endpoint than the target's.
	ErrIncarnation = errors.New("answer of another incarnation")
	// ErrEarlier means that an answer comes from an earlier incarnation of the
	// endpoint: it is late, and no evidence against the present incarnation.
	ErrEarlier = fmt.Errorf("%w, an earlier one", ErrIncarnation)
	// ErrGap means that tokens are missing before a chunk.
	ErrGap = errors.New("tokens missing in stream")
	// ErrRepeat means that a chunk repeats tokens of earlier chunks.
	ErrRepeat = errors.New("tokens repeated in stream")
	// ErrMalformed means that an answer can't be parsed.
	ErrMalformed = errors.New("malformed answer")
	// ErrOversized means that a body or line exceeds its size limit.
	ErrOversized = errors.New("over the size bound")
	// ErrBroken means that an answer or stream ended early.
	ErrBroken = errors.New("stream ended early")
	// ErrIdle means that an endpoint sent nothing within a timeout.
	ErrIdle = errors.New("endpoint silent too long")
	// ErrAddress means that a target's address, or a call's method or path, isn't
	// allowed.
	ErrAddress = errors.New("address or path not allowed")
)
