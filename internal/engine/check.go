package engine

import (
	"fmt"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// checkAnswer refuses an answer that is another attempt's, or comes from
// another process than the one that t names.
//
// Failure: an endpoint dies and a new process takes its address, or an answer
// is crossed with another caller's; the caller would get somebody else's text.
// Attempt IDs are random and used once and incarnations rise at each start, so
// a wrong answer can't match both.
func checkAnswer(t Target, op string, want, got fleet.AttemptID, incarnation fleet.Incarnation) error {
	if want != got {
		return &Error{Target: t, Op: op, Sent: true, Err: ErrAttempt}
	}
	return checkIncarnation(t, op, incarnation)
}

func checkIncarnation(t Target, op string, got fleet.Incarnation) error {
	if got == t.Incarnation {
		return nil
	}
	cause := ErrIncarnation
	if got < t.Incarnation {
		cause = ErrEarlier
	}
	err := fmt.Errorf("%w: %d, not %d", cause, got, t.Incarnation)
	return &Error{Target: t, Op: op, Sent: true, Err: err}
}

func checkState(t Target, op string, a engineapi.Announcement) error {
	if a.ID != t.ID {
		return &Error{Target: t, Op: op, Sent: true, Err: fmt.Errorf("%w: endpoint %q", ErrIncarnation, a.ID)}
	}
	if t.Incarnation == 0 {
		return nil
	}
	return checkIncarnation(t, op, a.Incarnation)
}

// position follows the tokens of one stream.
type position struct {
	target  Target
	attempt fleet.AttemptID
	next    int // offset of the next token
	end     int // one past the last token that may come; 0: no bound
}

// take checks one chunk and moves past it.
func (p *position) take(chunk engineapi.Chunk) error {
	if err := checkAnswer(p.target, opDecode, p.attempt, chunk.Attempt, chunk.Incarnation); err != nil {
		return err
	}
	if err := p.order(chunk); err != nil {
		return &Error{Target: p.target, Op: opDecode, Sent: true, Err: err}
	}
	p.next += chunk.Tokens
	return nil
}

func (p *position) order(chunk engineapi.Chunk) error {
	if chunk.Offset > p.next {
		return fmt.Errorf("%w: offset %d, not %d", ErrGap, chunk.Offset, p.next)
	}
	if chunk.Offset < p.next {
		return fmt.Errorf("%w: offset %d, not %d", ErrRepeat, chunk.Offset, p.next)
	}
	if chunk.Tokens < 0 || (chunk.Tokens == 0 && chunk.Text != "") {
		return fmt.Errorf("%w: %d tokens", ErrMalformed, chunk.Tokens)
	}
	if chunk.Tokens == 0 && chunk.Finish == engineapi.FinishNone {
		return fmt.Errorf("%w: empty chunk", ErrMalformed)
	}
	if p.end > 0 && chunk.Tokens > p.end-p.next {
		return fmt.Errorf("%w: more than %d tokens", ErrOversized, p.end)
	}
	if !chunk.Finish.Known() {
		return fmt.Errorf("%w: finish %q", ErrMalformed, chunk.Finish)
	}
	return nil
}
