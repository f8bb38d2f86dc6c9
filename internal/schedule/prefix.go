package schedule

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A prompt is cut into blocks of PrefixBlockBytes; only whole blocks count,
// and no more than MaxPrefixBlocks of them. TokenBytes is the mean length of a
// token by which lengths in bytes and in tokens are converted.
const (
	TokenBytes       = 4
	PrefixBlockBytes = 64 * TokenBytes
	MaxPrefixBlocks  = 128
)

// PrefixBlockTokens is the length of a block in tokens.
const PrefixBlockTokens = PrefixBlockBytes / TokenBytes

// Prefixes gives the chained hashes of the prompt's blocks, shortest prefix
// first: two prompts share element n just when their first n+1 blocks are
// equal. Engines and daemons must compute the same hashes.
func Prefixes(prompt string) []uint64 {
	blocks := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	if blocks == 0 {
		return nil
	}
	hashes := make([]uint64, blocks)
	var previous uint64
	for n := range hashes {
		block := prompt[n*PrefixBlockBytes : (n+1)*PrefixBlockBytes]
		previous = chain(previous, block)
		hashes[n] = previous
	}
	return hashes
}

func chain(previous uint64, block string) uint64 {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
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
