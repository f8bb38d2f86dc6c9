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
	markerID     = "id"     // identifies the request in audits
)

const (
	bytesPerToken      = 4
	minDefaultTokens   = 16
	defaultTokensRange = 113
	vocabularySize     = 36 * 36 * 36
	maxMarkerTokens    = 1 << 20
	defaultMaxTokens   = 256
)

// PromptTokens returns the number of tokens of a prompt: one for each four
// bytes, rounded up, and at least one.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// OutputTokens returns the number of tokens in the answer to a prompt, and whether
// maxTokens (0: 256) truncates it. A prompt with "[[tokens=N]]" asks for N tokens;
// for other prompts the hash decides on 16 to 128.
func OutputTokens(prompt string, maxTokens int) (tokens int, cut bool) {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	want := minDefaultTokens + int(xxhash.Sum64String(prompt)%defaultTokensRange)
	if n, err := strconv.Atoi(markerValue(prompt, markerTokens)); err == nil && n > 0 && n <= maxMarkerTokens {
		want = n
	}
	return min(want, maxTokens), want > maxTokens
}

// ExpectedText returns the whole answer to a prompt.
func ExpectedText(prompt string, maxTokens int) string {
	tokens, _ := OutputTokens(prompt, maxTokens)
	return textOf(xxhash.Sum64String(prompt), 0, tokens)
}

// ExpectedRange returns the text of the answer's tokens from offset up to, but not
// including, end.
func ExpectedRange(prompt string, offset, end int) string {
	return textOf(xxhash.Sum64String(prompt), offset, end)
}

func textOf(seed uint64, from, to int) string {
	var b strings.Builder
	for n := from; n < to; n++ {
		b.WriteString(tokenText(seed, n))
	}
	return b.String()
}

// tokenText returns the output token at a position: a space and a short word.
func tokenText(seed uint64, position int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(position))
	return " " + strconv.FormatUint(xxhash.Sum64(key[:])%vocabularySize, 36)
}

// Marker returns the value of "[[id=...]]" in a prompt or body; empty if there is none.
func Marker(text string) string { return markerValue(text, markerID) }

func markerValue(text, name string) string {
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
