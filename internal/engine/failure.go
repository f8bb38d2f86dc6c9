package engine

import (
	"errors"
	"fmt"
)

// The causes in an Error, for errors.Is.
var (
	// ErrGate means that the gate refused the send.
	ErrGate = errors.New("gate refused")
	// ErrWrongAttempt means that an answer belongs to another attempt.
	ErrWrongAttempt = errors.New("answer of another attempt")
	// ErrWrongIncarnation means that an answer comes from another incarnation of the
	// endpoint than the target's.
	ErrWrongIncarnation = errors.New("answer of another incarnation")
	// ErrEarlierIncarnation means that an answer comes from an earlier incarnation of the
	// endpoint: it is late, and no evidence against the present incarnation.
	ErrEarlierIncarnation = fmt.Errorf("%w, an earlier one", ErrWrongIncarnation)
	// ErrMissingTokens means that tokens are missing before a chunk.
	ErrMissingTokens = errors.New("tokens missing in stream")
	// ErrRepeatedTokens means that a chunk repeats tokens of earlier chunks.
	ErrRepeatedTokens = errors.New("tokens repeated in stream")
	// ErrMalformed means that an answer can't be parsed.
	ErrMalformed = errors.New("malformed answer")
	// ErrOversized means that a body or line exceeds its size limit. If an endpoint sent it, the
	// error wraps a *readlimit.Exceeded too.
	ErrOversized = errors.New("over the size bound")
	// ErrTruncated means that an answer or stream ended early.
	ErrTruncated = errors.New("stream ended early")
	// ErrIdleTimeout means that an endpoint sent nothing within a timeout.
	ErrIdleTimeout = errors.New("endpoint silent too long")
	// ErrNotAllowed means that a target's address, or a call's method or path, isn't
	// allowed.
	ErrNotAllowed = errors.New("address or path not allowed")
)
