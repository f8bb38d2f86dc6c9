package route

import (
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// chunkVerdict states how to handle a chunk.
type chunkVerdict int

const (
	chunkNext         chunkVerdict = iota + 1 // continues the answer
	chunkRepeated                             // the caller has all of it: dropped
	chunkOtherAttempt                         // belongs to another attempt or incarnation
	chunkGap                                  // doesn't continue the answer
)

// checkChunk compares a chunk with the position in the answer. Pure.
//
// It prevents an engine or connection that mixes up two answers from passing one
// caller's text to another: attempt IDs are random and never reused, so a chunk
// with this attempt's ID belongs to it. The offset then shows lost and repeated
// chunks.
func checkChunk(c engineapi.Chunk, a fleet.AttemptID, at fleet.Incarnation, passed int) chunkVerdict {
	switch {
	case c.Attempt != a || c.Incarnation != at || c.Tokens < 0:
		return chunkOtherAttempt
	case c.Offset == passed:
		return chunkNext
	case c.Offset < passed && c.Offset+c.Tokens <= passed && c.Tokens > 0 && c.Finish == engineapi.FinishNone:
		return chunkRepeated
	}
	return chunkGap
}
