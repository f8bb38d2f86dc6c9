package blocks

import (
	"crypto/sha256"

	"github.com/gravitational/trace"
)

// SumSize is the length of a Sum in bytes: the probability that any two different blocks
// of all documents have the same Sum is below 1e-18.
const SumSize = 16

// Sum identifies a block by the first bytes of its SHA-256 digest.
type Sum [SumSize]byte

func sumOf(block []byte) Sum {
	digest := sha256.Sum256(block)
	return Sum(digest[:SumSize])
}

// ParseSum decodes a Sum from a message.
func ParseSum(data []byte) (Sum, error) {
	if len(data) != SumSize {
		return Sum{}, trace.BadParameter("a block's name has %d bytes, not %d", len(data), SumSize)
	}
	return Sum(data), nil
}

// EncodeSums encodes Sums for a message.
func EncodeSums(sums []Sum) [][]byte {
	list := make([][]byte, len(sums))
	for i := range sums {
		list[i] = sums[i][:]
	}
	return list
}
