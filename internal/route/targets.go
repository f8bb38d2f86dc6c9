package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// targetsMet tells which of a team's targets a whole answer met: a label value.
type targetsMet string

const (
	metBoth       targetsMet = "both"
	metFirstToken targetsMet = "first-token" // but not the gap
	metTokenGap   targetsMet = "token-gap"   // but not the first token
	metNone       targetsMet = "none"
)

// pace is how fast a whole answer came.
type pace struct {
	firstToken time.Duration // from arrival
	decoding   time.Duration // from the first token to the last
	later      int           // tokens after the first chunk
}

// judge compares a pace with the targets; a target of 0 is met. The gap is the
// mean over the answer, so that a resumption counts with its whole pause. Pure.
func (p pace) judge(t settings.Targets) targetsMet {
	first := t.FirstToken <= 0 || p.firstToken <= t.FirstToken
	gap := t.TokenGap <= 0 || p.later <= 0 || p.decoding <= time.Duration(p.later)*t.TokenGap
	switch {
	case first && gap:
		return metBoth
	case first:
		return metFirstToken
	case gap:
		return metTokenGap
	}
	return metNone
}
