package engineapi

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of one block of a prompt in the prefix
// cache, in bytes.
const PrefixBlockBytes = 512

// PrefixHashes gives the hash of the prompt up to the end of each whole
// block, shortest first. Engines name the blocks of their prefix cache with
// the same numbers. Models have different hashes.
func PrefixHashes(model ModelRef, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model.String())
	_, _ = digest.Write([]byte{0})
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	for len(prompt) >= PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		prompt = prompt[PrefixBlockBytes:]
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
