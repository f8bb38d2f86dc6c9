package schedule

import "github.com/hyssopsail/hyssopsail/internal/engineapi"

// TokenBytes is the mean token length used to convert between bytes and tokens.
// MaxPrefixBlocks bounds the blocks of a prompt that are hashed.
const (
	TokenBytes      = 4
	MaxPrefixBlocks = 128
)

// PrefixBlockTokens is the length of a prefix block in tokens.
const PrefixBlockTokens = engineapi.PrefixBlockBytes / TokenBytes

// Prefixes returns the hashes by which engines identify the first blocks of a
// prompt, shortest prefix first. Two prompts for one model share element n
// exactly if their first n+1 blocks are equal.
func Prefixes(model engineapi.ModelRef, prompt string) []uint64 {
	maxBytes := MaxPrefixBlocks * engineapi.PrefixBlockBytes
	return engineapi.PrefixHashes(model, prompt[:min(len(prompt), maxBytes)])
}

// Tokens estimates the length of a text in tokens.
func Tokens(text string) int { return (len(text) + TokenBytes - 1) / TokenBytes }

// CachedTokens returns how many tokens of the prompt are in the cache. It uses
// binary search, since an engine caches a block only together with the blocks
// before it. Lost cache events can break that; the result is then off by some
// blocks, which only leads to a worse choice.
func CachedTokens(prefixes []uint64, cached map[uint64]struct{}) int {
	return cachedBlocks(prefixes, cached, 0) * PrefixBlockTokens
}

// cachedBlocks is CachedTokens in blocks. guess is probed first: caches that
// share a preamble usually end at the same block.
func cachedBlocks(prefixes []uint64, cached map[uint64]struct{}, guess int) int {
	low, high := 0, len(prefixes)
	if len(cached) == 0 || high == 0 {
		return 0
	}
	if guess == 0 && !contains(cached, prefixes[0]) {
		return 0
	}
	if guess > 0 && guess <= high {
		if !contains(cached, prefixes[guess-1]) {
			high = guess - 1
		} else {
			low = guess
		}
		if low == guess && low < high && !contains(cached, prefixes[low]) {
			return low
		}
	}
	for low < high {
		middle := (low + high + 1) / 2
		if contains(cached, prefixes[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

func contains(cached map[uint64]struct{}, prefix uint64) bool {
	_, ok := cached[prefix]
	return ok
}
