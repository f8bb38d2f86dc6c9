package schedule

import "github.com/hyssopsail/hyssopsail/internal/engineapi"

// TokenBytes is the mean length of a token by which lengths in bytes and in
// tokens are converted. MaxPrefixBlocks bounds the blocks of a prompt that are
// looked at.
const (
	TokenBytes      = 4
	MaxPrefixBlocks = 128
)

// PrefixBlockTokens is the length of a block in tokens.
const PrefixBlockTokens = engineapi.PrefixBlockBytes / TokenBytes

// Prefixes gives the hashes by which engines name the first blocks of a
// prompt, shortest prefix first. Two prompts for one model share element n
// just when their first n+1 blocks are equal.
func Prefixes(model engineapi.ModelRef, prompt string) []uint64 {
	most := MaxPrefixBlocks * engineapi.PrefixBlockBytes
	return engineapi.PrefixHashes(model, prompt[:min(len(prompt), most)])
}

// Tokens estimates the length in tokens of a text.
func Tokens(text string) int { return (len(text) + TokenBytes - 1) / TokenBytes }

// CachedTokens gives how many tokens of the prompt are in the cache. It
// searches by halves, since an engine keeps a block only with those before it;
// where lost cache events break that, the answer is low or high by some
// blocks and costs only a worse choice.
func CachedTokens(prefixes []uint64, cached map[uint64]struct{}) int {
	return cachedBlocks(prefixes, cached, 0) * PrefixBlockTokens
}

// cachedBlocks is CachedTokens in blocks. guess is where to look first: caches
// that share a preamble mostly end at the same block.
func cachedBlocks(prefixes []uint64, cached map[uint64]struct{}, guess int) int {
	low, high := 0, len(prefixes)
	if len(cached) == 0 || high == 0 {
		return 0
	}
	if guess == 0 && !holds(cached, prefixes[0]) {
		return 0
	}
	if guess > 0 && guess <= high {
		if !holds(cached, prefixes[guess-1]) {
			high = guess - 1
		} else {
			low = guess
		}
		if low == guess && low < high && !holds(cached, prefixes[low]) {
			return low
		}
	}
	for low < high {
		middle := (low + high + 1) / 2
		if holds(cached, prefixes[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

func holds(cached map[uint64]struct{}, prefix uint64) bool {
	_, ok := cached[prefix]
	return ok
}
