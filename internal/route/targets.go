package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// targetsMet states which of the team's targets a complete answer met. It is a label
// value.
type targetsMet string

const (
	metBoth       targetsMet = "both"
	metFirstToken targetsMet = "first-token" // not the token gap
	metTokenGap   targetsMet = "token-gap"   // not the first token
	metNone       targetsMet = "none"
)

// answerTiming is the timing of a complete answer.
type answerTiming struct {
	firstToken  time.Duration // from arrival
	decodeTime  time.Duration // from the first token to the last
	laterTokens int           // tokens after the first chunk
}

// compare returns the targets that the timing meets; a target of 0 is always met. The
// token gap is the mean over the answer and includes the pauses of resumptions. Pure.
func (a answerTiming) compare(t settings.Targets) targetsMet {
	first := t.FirstToken <= 0 || a.firstToken <= t.FirstToken
	gap := t.TokenGap <= 0 || a.laterTokens <= 0 || a.decodeTime <= time.Duration(a.laterTokens)*t.TokenGap
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
