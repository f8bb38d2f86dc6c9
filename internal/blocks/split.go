package blocks

import (
	"bytes"
	"crypto/sha256"

	"github.com/restic/chunker"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Block sizes in bytes. A block of 12 KB on average holds some sixty routes and
// compresses to a fifteenth. Smaller blocks compress worse (to a ninth at 4 KB); larger
// ones make small changes more expensive.
const (
	minBlockSize     = 4 << 10
	maxBlockSize     = 32 << 10
	averageBlockBits = 13 // a boundary on average 8 KB after minBlockSize
)

// polynomial determines the block boundaries. All processes of a fleet must use the same
// one to share blocks; any irreducible polynomial would do.
const polynomial = chunker.Pol(0x3DA3358B4DC173)

// Split splits a document into blocks.
func Split(version int64, source []byte) *Document {
	digest := sha256.Sum256(source)
	outline := &pb.Outline{Version: version, Digest: digest[:]}
	splitter := chunker.NewWithBoundaries(bytes.NewReader(source), polynomial, minBlockSize, maxBlockSize)
	splitter.SetAverageBits(averageBlockBits)
	buffer := make([]byte, maxBlockSize)
	for {
		chunk, err := splitter.Next(buffer)
		if err != nil {
			break // io.EOF: reading from memory has no other error
		}
		sum := sumOf(chunk.Data)
		outline.Blocks = append(outline.Blocks, sum[:])
		outline.Sizes = append(outline.Sizes, uint32(chunk.Length))
	}
	return newDocument(outline, source)
}
