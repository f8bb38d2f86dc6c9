package route

import (
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// chunkVerdict is what becomes of a chunk.
type chunkVerdict int

const (
	chunkNext     chunkVerdict = iota + 1
	chunkRepeated              // the caller has all of it: dropped
	chunkForeign               // of another attempt or incarnation
	chunkGap                   // not where the answer goes on
)

// judgeChunk compares a chunk with where the answer stands. Pure.
//
// An engine or a connection that mixes up two answers shows as one caller's
// text in the other's answer. Attempt IDs are random and never used twice, so
// a chunk that names this one was made for it; offsets then show what was
// lost or came twice.
func judgeChunk(c engineapi.Chunk, a fleet.AttemptID, at fleet.Incarnation, passed int) chunkVerdict {
	switch {
	case c.Attempt != a || c.Incarnation != at || c.Tokens < 0:
		return chunkForeign
	case c.Offset == passed:
		return chunkNext
	case c.Offset < passed && c.Offset+c.Tokens <= passed && c.Tokens > 0 && c.Finish == engineapi.FinishNone:
		return chunkRepeated
	}
	return chunkGap
}
