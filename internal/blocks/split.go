package blocks

import (
	"bytes"
	"crypto/sha256"

	"github.com/restic/chunker"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The sizes of blocks, bytes. A block of 12 KB on average holds some sixty
// routes, and compresses to a fifteenth; smaller ones compress worse (a ninth at
// 4 KB), larger ones make a small change dear.
const (
	leastBlock  = 4 << 10
	mostBlock   = 32 << 10
	averageBits = 13 // a cut on average 8 KB after leastBlock
)

// polynomial chooses the cuts. All processes of a fleet must use the same one to
// share blocks; which one doesn't matter, as long as it is irreducible.
const polynomial = chunker.Pol(0x3DA3358B4DC173)

// Split cuts a document into blocks.
func Split(version int64, source []byte) *Document {
	digest := sha256.Sum256(source)
	outline := &pb.Outline{Version: version, Digest: digest[:]}
	cutter := chunker.NewWithBoundaries(bytes.NewReader(source), polynomial, leastBlock, mostBlock)
	cutter.SetAverageBits(averageBits)
	buffer := make([]byte, mostBlock)
	for {
		cut, err := cutter.Next(buffer)
		if err != nil {
			break // the end: a reader of bytes in memory has no other error
		}
		sum := sumOf(cut.Data)
		outline.Blocks = append(outline.Blocks, sum[:])
		outline.Sizes = append(outline.Sizes, uint32(cut.Length))
	}
	return newDocument(outline, source)
}
