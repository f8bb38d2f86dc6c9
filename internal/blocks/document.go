package blocks

import (
	"crypto/sha256"
	"sync"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Document is a whole document with its outline.
type Document struct {
	outline *pb.Outline
	source  []byte
	blocks  map[Sum][]byte // parts of source

	mu     sync.Mutex    // guards the fields below; a leaf
	packer *zstd.Encoder // nil until a block is compressed
	packed map[Sum][]byte
}

func newDocument(outline *pb.Outline, source []byte) *Document {
	d := &Document{
		outline: outline, source: source,
		blocks: make(map[Sum][]byte, len(outline.Blocks)), packed: map[Sum][]byte{},
	}
	rest := source
	for i, sum := range outline.Blocks {
		d.blocks[Sum(sum)] = rest[:outline.Sizes[i]:outline.Sizes[i]]
		rest = rest[outline.Sizes[i]:]
	}
	return d
}

// Restore gives a document that was stored with its outline.
func Restore(outline *pb.Outline, source []byte) (*Document, error) {
	if err := check(outline); err != nil {
		return nil, err
	}
	if size := Size(outline); size != uint64(len(source)) {
		return nil, trace.BadParameter("a document of %d bytes has an outline of %d", len(source), size)
	}
	return newDocument(outline, source), nil
}

// check tells whether an outline can be of a document.
func check(outline *pb.Outline) error {
	if len(outline.GetBlocks()) != len(outline.GetSizes()) || len(outline.GetDigest()) != sha256.Size {
		return trace.BadParameter("the outline of version %d is not whole", outline.GetVersion())
	}
	for i, sum := range outline.Blocks {
		if _, err := ParseSum(sum); err != nil {
			return err
		}
		if outline.Sizes[i] == 0 || outline.Sizes[i] > mostBlock {
			return trace.BadParameter("block %d of version %d has %d bytes", i, outline.Version, outline.Sizes[i])
		}
	}
	return nil
}

// Size gives the length of an outline's document, bytes.
func Size(outline *pb.Outline) uint64 {
	size := uint64(0)
	for _, s := range outline.GetSizes() {
		size += uint64(s)
	}
	return size
}

// Version is the document's version, 0 for none; d may be nil.
func (d *Document) Version() int64 {
	if d == nil {
		return 0
	}
	return d.outline.Version
}

// Outline gives what to tell others of the document.
func (d *Document) Outline() *pb.Outline { return d.outline }

// Source gives the document to the byte; nobody may change it.
func (d *Document) Source() []byte { return d.source }

// block gives a block, nil when the document, which may be nil, has none of this
// name.
func (d *Document) block(sum Sum) []byte {
	if d == nil {
		return nil
	}
	return d.blocks[sum]
}

// Packed gives a block for the wire, nil when the document, which may be nil, has
// none of this name. It is compressed once, however many ask.
func (d *Document) Packed(sum Sum) []byte {
	block := d.block(sum)
	if block == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.packed[sum] == nil {
		if d.packer == nil {
			d.packer = newPacker()
		}
		d.packed[sum] = d.packer.EncodeAll(block, nil)
	}
	return d.packed[sum]
}

// packedBefore gives a block for the wire where it was compressed already.
func (d *Document) packedBefore(sum Sum) []byte {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.packed[sum]
}

// Lacking gives the blocks of d that base, which may be nil, doesn't have, each
// once.
func (d *Document) Lacking(base *Document) []Sum {
	var list []Sum
	seen := map[Sum]bool{}
	for _, name := range d.outline.Blocks {
		sum := Sum(name)
		if !seen[sum] && base.block(sum) == nil {
			list = append(list, sum)
		}
		seen[sum] = true
	}
	return list
}
