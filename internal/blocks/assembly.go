package blocks

import (
	"bytes"
	"crypto/sha256"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Assembly is a document that is being put together.
type Assembly struct {
	outline *pb.Outline
	wanted  map[Sum]bool   // names of the document
	blocks  map[Sum][]byte // those that are here
	packed  map[Sum][]byte // the same compressed, where they came so
	// unpacker is nil until a block comes.
	unpacker *zstd.Decoder
}

// Assemble begins a document with what is already here: the blocks of another
// version and of an assembly that was left off; both may be nil.
func Assemble(outline *pb.Outline, base *Document, before *Assembly) (*Assembly, error) {
	if err := check(outline); err != nil {
		return nil, err
	}
	a := &Assembly{
		outline: outline, wanted: make(map[Sum]bool, len(outline.Blocks)),
		blocks: make(map[Sum][]byte, len(outline.Blocks)), packed: map[Sum][]byte{},
	}
	for _, name := range outline.Blocks {
		sum := Sum(name)
		a.wanted[sum] = true
		if block := before.block(sum); block != nil {
			a.keep(sum, block, before.packed[sum])
		} else if block := base.block(sum); block != nil {
			a.keep(sum, block, base.packedBefore(sum))
		}
	}
	return a, nil
}

func (a *Assembly) keep(sum Sum, block, packed []byte) {
	a.blocks[sum] = block
	if packed != nil {
		a.packed[sum] = packed
	}
}

// Outline gives the outline of the document.
func (a *Assembly) Outline() *pb.Outline { return a.outline }

func (a *Assembly) block(sum Sum) []byte {
	if a == nil {
		return nil
	}
	return a.blocks[sum]
}

// Missing gives the first most names of blocks that are not here and not passed
// over, in the document's order.
func (a *Assembly) Missing(most int, passOver map[Sum]bool) []Sum {
	var list []Sum
	seen := map[Sum]bool{}
	for _, name := range a.outline.Blocks {
		sum := Sum(name)
		if len(list) >= most {
			break
		}
		if a.blocks[sum] == nil && !passOver[sum] && !seen[sum] {
			list = append(list, sum)
			seen[sum] = true
		}
	}
	return list
}

// Add takes in a compressed block, whose name its content gives. One that is not
// wanted, as it was asked for an earlier version, is left.
func (a *Assembly) Add(packed []byte) error {
	if a.unpacker == nil {
		a.unpacker = newUnpacker()
	}
	block, err := a.unpacker.DecodeAll(packed, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	sum := sumOf(block)
	if a.wanted[sum] {
		a.keep(sum, block, packed)
	}
	return nil
}

// Whole tells whether all blocks are here.
func (a *Assembly) Whole() bool { return len(a.blocks) == len(a.wanted) }

// Document gives the document once it is whole.
func (a *Assembly) Document() (*Document, error) {
	if !a.Whole() {
		return nil, trace.NotFound("version %d lacks %d of %d blocks", a.outline.Version, len(a.wanted)-len(a.blocks), len(a.wanted))
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
	document.packed = a.packed
	return document, nil
}
