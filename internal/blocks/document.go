package blocks

import (
	"crypto/sha256"
	"sync"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Document is a complete document with its outline.
type Document struct {
	outline *pb.Outline
	source  []byte
	blocks  map[Sum][]byte // subslices of source

	mu         sync.Mutex    // guards the fields below; a leaf lock
	encoder    *zstd.Encoder // nil until a block is compressed
	compressed map[Sum][]byte
}

func newDocument(outline *pb.Outline, source []byte) *Document {
	d := &Document{
		outline: outline, source: source,
		blocks: make(map[Sum][]byte, len(outline.Blocks)), compressed: map[Sum][]byte{},
	}
	rest := source
	for i, sum := range outline.Blocks {
		d.blocks[Sum(sum)] = rest[:outline.Sizes[i]:outline.Sizes[i]]
		rest = rest[outline.Sizes[i]:]
	}
	return d
}

// Restore returns a document that was stored with its outline.
func Restore(outline *pb.Outline, source []byte) (*Document, error) {
	if err := checkOutline(outline); err != nil {
		return nil, err
	}
	if size := Size(outline); size != uint64(len(source)) {
		return nil, trace.BadParameter("a document of %d bytes has an outline of %d", len(source), size)
	}
	return newDocument(outline, source), nil
}

// checkOutline returns an error if an outline is not well-formed.
func checkOutline(outline *pb.Outline) error {
	if len(outline.GetBlocks()) != len(outline.GetSizes()) || len(outline.GetDigest()) != sha256.Size {
		return trace.BadParameter("the outline of version %d is not whole", outline.GetVersion())
	}
	for i, sum := range outline.Blocks {
		if _, err := ParseSum(sum); err != nil {
			return err
		}
		if outline.Sizes[i] == 0 || outline.Sizes[i] > maxBlockSize {
			return trace.BadParameter("block %d of version %d has %d bytes", i, outline.Version, outline.Sizes[i])
		}
	}
	return nil
}

// Size returns the length of an outline's document in bytes.
func Size(outline *pb.Outline) uint64 {
	size := uint64(0)
	for _, s := range outline.GetSizes() {
		size += uint64(s)
	}
	return size
}

// Version returns the document's version, or 0 if d is nil.
func (d *Document) Version() int64 {
	if d == nil {
		return 0
	}
	return d.outline.Version
}

// Outline returns the outline: the document's version, digest and blocks.
func (d *Document) Outline() *pb.Outline { return d.outline }

// Source returns the document's bytes, which must not be changed.
func (d *Document) Source() []byte { return d.source }

// block returns a block, or nil if d is nil or doesn't contain it.
func (d *Document) block(sum Sum) []byte {
	if d == nil {
		return nil
	}
	return d.blocks[sum]
}

// Compressed returns the compressed form of a block, or nil if d is nil or doesn't
// contain the block. Each block is compressed at most once.
func (d *Document) Compressed(sum Sum) []byte {
	block := d.block(sum)
	if block == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.compressed[sum] == nil {
		if d.encoder == nil {
			d.encoder = newEncoder()
		}
		d.compressed[sum] = d.encoder.EncodeAll(block, nil)
	}
	return d.compressed[sum]
}

// cachedCompressed returns the compressed form of a block if it is known already, or nil.
func (d *Document) cachedCompressed(sum Sum) []byte {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.compressed[sum]
}

// MissingFrom returns the blocks of d that base, which may be nil, doesn't contain, each
// once.
func (d *Document) MissingFrom(base *Document) []Sum {
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
