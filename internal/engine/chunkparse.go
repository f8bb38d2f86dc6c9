package engine

import (
	"bytes"
	"strconv"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// The members of a chunk in the order in which encoding/json writes them.
var (
	attemptMember     = []byte(`{"attempt_id":"`)
	incarnationMember = []byte(`","incarnation":`)
	offsetMember      = []byte(`,"offset":`)
	tokensMember      = []byte(`,"tokens":`)
	textMember        = []byte(`,"text":"`)
	finishMember      = []byte(`,"finish":"`)
)

// maxDigits excludes overflow; longer numbers are left to encoding/json.
const maxDigits = 15

// parseChunk is a fast path for chunks as most engines encode them: members in
// order, no spaces, strings of unescaped ASCII. For any other input, valid or not,
// ok is false and the caller uses encoding/json. If ok is true, chunk equals
// what encoding/json returns.
func parseChunk(data []byte, attempt fleet.AttemptID) (chunk engineapi.Chunk, ok bool) {
	p := chunkParser{rest: data}
	id := p.text(attemptMember)
	chunk.Incarnation = fleet.Incarnation(p.number(incarnationMember))
	chunk.Offset = int(p.number(offsetMember))
	chunk.Tokens = int(p.number(tokensMember))
	text := p.text(textMember)
	finish := p.finish()
	if p.failed || len(p.rest) > 0 {
		return engineapi.Chunk{}, false
	}
	// Reusing attempt saves allocating the same string for each token.
	chunk.Attempt = attempt
	if string(id) != string(attempt) {
		chunk.Attempt = fleet.AttemptID(id)
	}
	chunk.Text = string(text)
	chunk.Finish = engineapi.Finish(finish)
	return chunk, true
}

// chunkParser parses a chunk from the front of rest. Once failed is set, the
// results are invalid.
type chunkParser struct {
	rest   []byte
	failed bool
}

func (p *chunkParser) skip(member []byte) {
	rest, ok := bytes.CutPrefix(p.rest, member)
	p.rest = rest
	p.failed = p.failed || !ok
}

// text parses a string after member up to its closing quote, which stays in rest.
func (p *chunkParser) text(member []byte) []byte {
	p.skip(member)
	for n, c := range p.rest {
		if c == '"' {
			found := p.rest[:n]
			p.rest = p.rest[n:]
			return found
		}
		if c < ' ' || c >= 0x7f || c == '\\' {
			break
		}
	}
	p.failed = true
	return nil
}

// number parses an unsigned integer after member.
func (p *chunkParser) number(member []byte) uint64 {
	p.skip(member)
	n := 0
	for n < len(p.rest) && p.rest[n] >= '0' && p.rest[n] <= '9' {
		n++
	}
	if n == 0 || n > maxDigits || (n > 1 && p.rest[0] == '0') {
		p.failed = true
		return 0
	}
	value, err := strconv.ParseUint(string(p.rest[:n]), 10, 64)
	p.failed = p.failed || err != nil
	p.rest = p.rest[n:]
	return value
}

// finish parses the closing quote of the text, the finish member if there is
// one, and the closing brace.
func (p *chunkParser) finish() []byte {
	p.skip([]byte{'"'})
	var finish []byte
	if bytes.HasPrefix(p.rest, finishMember) {
		finish = p.text(finishMember)
		p.skip([]byte{'"'})
	}
	p.skip([]byte{'}'})
	return finish
}
