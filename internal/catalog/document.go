package catalog

import (
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// putBlocks applies a document with a higher version and reports whether it did. The same
// or a lower version changes nothing: it is a repeat, or a newer one was committed first.
// Nor does a command that lacks blocks because another document came into force after it
// was built: the proposer sees that its version was not reached and builds the command
// again.
//
// All members have the same document with the same block boundaries, including members
// restored from snapshots, so that all of them or none apply a command.
func (m *Machine) putBlocks(c *pb.PutBlocks) bool {
	if c.GetOutline().GetVersion() <= m.document.Version() {
		return false
	}
	document, err := assembleDocument(c, m.document)
	if err != nil {
		return false
	}
	m.document, m.previous = document, m.document
	return true
}

func assembleDocument(c *pb.PutBlocks, base *blocks.Document) (*blocks.Document, error) {
	assembly, err := blocks.NewAssembly(c.Outline, base, nil)
	if err != nil {
		return nil, err
	}
	for _, packed := range c.Packed {
		if err := assembly.Add(packed); err != nil {
			return nil, err
		}
	}
	return assembly.Document()
}

// putDocument is putBlocks for whole documents, which the logs of earlier builds contain.
func (m *Machine) putDocument(d *pb.ConfigDocument) bool {
	if d.Version <= m.document.Version() {
		return false
	}
	m.document, m.previous = blocks.Split(d.Version, d.Source), m.document
	return true
}

// PutBlocksCommand returns the command that puts a document into force while base, which
// may be nil, is in force. A document that is not newer needs no blocks: committing the
// command then only confirms that a newer one is in force.
func PutBlocksCommand(document, base *blocks.Document) *pb.CatalogCommand {
	command := &pb.PutBlocks{Outline: document.Outline()}
	if document.Version() > base.Version() {
		for _, sum := range document.MissingFrom(base) {
			command.Packed = append(command.Packed, document.Compressed(sum))
		}
	} else {
		command.Outline = &pb.Outline{Version: document.Version()}
	}
	return &pb.CatalogCommand{Kind: &pb.CatalogCommand_PutBlocks{PutBlocks: command}}
}

// CurrentDocument returns the newest document with its blocks, or nil before the first.
func (m *Machine) CurrentDocument() *blocks.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// Document returns the newest document as it was submitted, or nil before the first.
func (m *Machine) Document() *pb.ConfigDocument {
	d := m.CurrentDocument()
	if d == nil {
		return nil
	}
	return configDocument(d)
}

func configDocument(d *blocks.Document) *pb.ConfigDocument {
	return &pb.ConfigDocument{Version: d.Version(), Source: d.Source()}
}

// maxBlocksReplySize bounds the compressed blocks of one reply, in bytes: 50 ms on a link
// of 10 Mbit/s. An interrupted transfer loses less than this.
const maxBlocksReplySize = 64 << 10

// Blocks returns the requested blocks that the newest or the previous document contains,
// compressed: as many as fit into one reply, and at least one.
func (m *Machine) Blocks(sums []blocks.Sum) [][]byte {
	m.mu.Lock()
	document, previous := m.document, m.previous
	m.mu.Unlock()
	var list [][]byte
	size := 0
	for _, sum := range sums {
		compressed := document.Compressed(sum)
		if compressed == nil {
			compressed = previous.Compressed(sum)
		}
		size += len(compressed)
		if size > maxBlocksReplySize && len(list) > 0 {
			break
		}
		if compressed != nil {
			list = append(list, compressed)
		}
	}
	return list
}

// restoreDocument returns the document of a snapshot, or nil if it has none.
func restoreDocument(s *pb.CatalogSnapshot) (*blocks.Document, error) {
	switch {
	case s.Document == nil:
		return nil, nil
	case s.Outline == nil:
		return blocks.Split(s.Document.Version, s.Document.Source), nil
	}
	d, err := blocks.Restore(s.Outline, s.Document.Source)
	return d, trace.Wrap(err)
}
