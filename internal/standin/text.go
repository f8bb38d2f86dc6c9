package standin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Markers in prompts and bodies look like "[[name=value]]".
const (
	markerTokens = "tokens" // number of output tokens
	markerID     = "id"     // names the request in audits
)

const (
	bytesPerToken   = 4
	shortestOutput  = 16
	outputSpread    = 113
	vocabulary      = 36 * 36 * 36
	longestTokens   = 1 << 20
	defaultMostToks = 256
)

// PromptTokens gives the number of tokens of a prompt: one for each four
// bytes, and at least one.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// OutputTokens gives how many tokens a prompt is answered with, and whether
// the answer ends because of maxTokens (0: 256). A prompt with
// "[[tokens=N]]" wants N; any other one wants 16 to 128 by its hash.
func OutputTokens(prompt string, maxTokens int) (tokens int, cut bool) {
	if maxTokens <= 0 {
		maxTokens = defaultMostToks
	}
	want := shortestOutput + int(xxhash.Sum64String(prompt)%outputSpread)
	if n, err := strconv.Atoi(marker(prompt, markerTokens)); err == nil && n > 0 && n <= longestTokens {
		want = n
	}
	return min(want, maxTokens), want > maxTokens
}

// ExpectedText gives the whole answer to a prompt.
func ExpectedText(prompt string, maxTokens int) string {
	tokens, _ := OutputTokens(prompt, maxTokens)
	return textOf(xxhash.Sum64String(prompt), 0, tokens)
}

// ExpectedPart gives the tokens from offset up to end of the answer.
func ExpectedPart(prompt string, offset, end int) string {
	return textOf(xxhash.Sum64String(prompt), offset, end)
}

func textOf(seed uint64, from, to int) string {
	var b strings.Builder
	for n := from; n < to; n++ {
		b.WriteString(token(seed, n))
	}
	return b.String()
}

// token gives the output token at a position: a space and a short word.
func token(seed uint64, position int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(position))
	return " " + strconv.FormatUint(xxhash.Sum64(key[:])%vocabulary, 36)
}

// Marker gives what a prompt or body carries as "[[id=...]]"; empty without.
func Marker(text string) string { return marker(text, markerID) }

func marker(text, name string) string {
	_, rest, ok := strings.Cut(text, "[["+name+"=")
	if !ok {
		return ""
	}
	value, _, ok := strings.Cut(rest, "]]")
	if !ok {
		return ""
	}
	return value
}
