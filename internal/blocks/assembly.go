package blocks

import (
	"bytes"
	"crypto/sha256"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Assembly is a document that is being put together from its blocks.
type Assembly struct {
	outline    *pb.Outline
	required   map[Sum]bool   // blocks of the document
	blocks     map[Sum][]byte // available blocks
	compressed map[Sum][]byte // compressed form of available blocks, where known
	// decoder is nil until the first block is added.
	decoder *zstd.Decoder
}

// NewAssembly starts an assembly with the blocks of another version and of an interrupted
// assembly; both may be nil.
func NewAssembly(outline *pb.Outline, base *Document, previous *Assembly) (*Assembly, error) {
	if err := checkOutline(outline); err != nil {
		return nil, err
	}
	a := &Assembly{
		outline: outline, required: make(map[Sum]bool, len(outline.Blocks)),
		blocks: make(map[Sum][]byte, len(outline.Blocks)), compressed: map[Sum][]byte{},
	}
	for _, name := range outline.Blocks {
		sum := Sum(name)
		a.required[sum] = true
		if block := previous.block(sum); block != nil {
			a.store(sum, block, previous.compressed[sum])
		} else if block := base.block(sum); block != nil {
			a.store(sum, block, base.cachedCompressed(sum))
		}
	}
	return a, nil
}

func (a *Assembly) store(sum Sum, block, compressed []byte) {
	a.blocks[sum] = block
	if compressed != nil {
		a.compressed[sum] = compressed
	}
}

// Outline returns the outline of the document.
func (a *Assembly) Outline() *pb.Outline { return a.outline }

func (a *Assembly) block(sum Sum) []byte {
	if a == nil {
		return nil
	}
	return a.blocks[sum]
}

// Missing returns up to limit blocks that are neither available nor in skip, in the
// document's order.
func (a *Assembly) Missing(limit int, skip map[Sum]bool) []Sum {
	var list []Sum
	seen := map[Sum]bool{}
	for _, name := range a.outline.Blocks {
		sum := Sum(name)
		if len(list) >= limit {
			break
		}
		if a.blocks[sum] == nil && !skip[sum] && !seen[sum] {
			list = append(list, sum)
			seen[sum] = true
		}
	}
	return list
}

// Add adds a compressed block, identified by its content. A block that is not part of the
// document, as it was requested for an earlier version, is ignored.
func (a *Assembly) Add(compressed []byte) error {
	if a.decoder == nil {
		a.decoder = newDecoder()
	}
	block, err := a.decoder.DecodeAll(compressed, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	sum := sumOf(block)
	if a.required[sum] {
		a.store(sum, block, compressed)
	}
	return nil
}

// Complete reports whether all blocks are available.
func (a *Assembly) Complete() bool { return len(a.blocks) == len(a.required) }

// Document returns the document; it fails while blocks are missing.
func (a *Assembly) Document() (*Document, error) {
	if !a.Complete() {
		return nil, trace.NotFound("version %d lacks %d of %d blocks", a.outline.Version, len(a.required)-len(a.blocks), len(a.required))
	}
	source := make([]byte, 0, Size(a.outline))
	for i, name := range a.outline.Blocks {
		block := a.blocks[Sum(name)]
		if len(block) != int(a.outline.Sizes[i]) {
			return nil, trace.BadParameter("block %d of version %d has %d bytes, not %d", i, a.outline.Version, len(block), a.outline.Sizes[i])
		}
		source = append(source, block...)
	}
	if digest := sha256.Sum256(source); !bytes.Equal(digest[:], a.outline.Digest) {
		return nil, trace.BadParameter("version %d is not what was confirmed: its digest differs", a.outline.Version)
	}
	document := newDocument(a.outline, source)
	document.compressed = a.compressed
	return document, nil
}
