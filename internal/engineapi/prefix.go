package engineapi

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of one block of a prompt in the prefix
// cache, in bytes.
const PrefixBlockBytes = 512

// PrefixHashes returns the hash of the prompt up to the end of each whole
// block, shortest prefix first. Engines identify the blocks of their prefix
// cache by the same hashes. The hashes also depend on the model.
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
