package engine

import (
	"fmt"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// checkAnswer returns an error for an answer that belongs to another attempt, or
// comes from another incarnation than t's.
//
// Failure: an endpoint dies and a new process takes over its address, or two
// callers' answers are swapped, and a caller gets another caller's text. Attempt
// IDs are random and used once, and incarnations rise at each start, so a wrong
// answer can't match both.
func checkAnswer(t Target, op string, want, got fleet.AttemptID, incarnation fleet.Incarnation) error {
	if want != got {
		return &Error{Target: t, Op: op, Sent: true, Err: ErrWrongAttempt}
	}
	return checkIncarnation(t, op, incarnation)
}

func checkIncarnation(t Target, op string, got fleet.Incarnation) error {
	if got == t.Incarnation {
		return nil
	}
	cause := ErrWrongIncarnation
	if got < t.Incarnation {
		cause = ErrEarlierIncarnation
	}
	err := fmt.Errorf("%w: %d, not %d", cause, got, t.Incarnation)
	return &Error{Target: t, Op: op, Sent: true, Err: err}
}

func checkState(t Target, op string, a engineapi.Announcement) error {
	if a.ID != t.ID {
		return &Error{Target: t, Op: op, Sent: true, Err: fmt.Errorf("%w: endpoint %q", ErrWrongIncarnation, a.ID)}
	}
	if t.Incarnation == 0 {
		return nil
	}
	return checkIncarnation(t, op, a.Incarnation)
}

// streamPosition tracks and checks the token offsets of one stream.
type streamPosition struct {
	target     Target
	attempt    fleet.AttemptID
	nextOffset int // offset of the next token
	maxOffset  int // limit for nextOffset; 0: none
}

// advance checks a chunk and moves the position past it.
func (p *streamPosition) advance(chunk engineapi.Chunk) error {
	if err := checkAnswer(p.target, opDecode, p.attempt, chunk.Attempt, chunk.Incarnation); err != nil {
		return err
	}
	if err := p.checkOrder(chunk); err != nil {
		return &Error{Target: p.target, Op: opDecode, Sent: true, Err: err}
	}
	p.nextOffset += chunk.Tokens
	return nil
}

func (p *streamPosition) checkOrder(chunk engineapi.Chunk) error {
	if chunk.Offset > p.nextOffset {
		return fmt.Errorf("%w: offset %d, not %d", ErrMissingTokens, chunk.Offset, p.nextOffset)
	}
	if chunk.Offset < p.nextOffset {
		return fmt.Errorf("%w: offset %d, not %d", ErrRepeatedTokens, chunk.Offset, p.nextOffset)
	}
	if chunk.Tokens < 0 || (chunk.Tokens == 0 && chunk.Text != "") {
		return fmt.Errorf("%w: %d tokens", ErrMalformed, chunk.Tokens)
	}
	if chunk.Tokens == 0 && chunk.Finish == engineapi.FinishNone {
		return fmt.Errorf("%w: empty chunk", ErrMalformed)
	}
	if p.maxOffset > 0 && chunk.Tokens > p.maxOffset-p.nextOffset {
		return fmt.Errorf("%w: more than %d tokens", ErrOversized, p.maxOffset)
	}
	if !chunk.Finish.Known() {
		return fmt.Errorf("%w: finish %q", ErrMalformed, chunk.Finish)
	}
	return nil
}
