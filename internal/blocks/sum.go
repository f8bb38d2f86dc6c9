package blocks

import (
	"crypto/sha256"

	"github.com/gravitational/trace"
)

// SumSize is the length of a Sum, bytes: two different blocks of all documents
// that ever were have the same one with a probability under 1e-18.
const SumSize = 16

// Sum names a block by the first bytes of its SHA-256.
type Sum [SumSize]byte

func sumOf(block []byte) Sum {
	whole := sha256.Sum256(block)
	return Sum(whole[:SumSize])
}

// ParseSum reads a Sum from a message.
func ParseSum(data []byte) (Sum, error) {
	if len(data) != SumSize {
		return Sum{}, trace.BadParameter("a block's name has %d bytes, not %d", len(data), SumSize)
	}
	return Sum(data), nil
}

// Bytes encodes names for a message.
func Bytes(sums []Sum) [][]byte {
	list := make([][]byte, len(sums))
	for i := range sums {
		list[i] = sums[i][:]
	}
	return list
}
