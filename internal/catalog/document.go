package catalog

import (
	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// putBlocks takes a higher version. The same or a lower one changes nothing: it
// is a repeat, or was overtaken. Nor does one that lacks blocks, since another
// document came into force after the command had been made: whoever proposed it
// sees that its version is not reached, and makes the command anew.
//
// All members hold the same document with the same cuts, snapshots included, so
// that a command is taken by all of them or by none.
func (m *Machine) putBlocks(c *pb.PutBlocks) bool {
	if c.GetOutline().GetVersion() <= m.document.Version() {
		return false
	}
	document, err := putTogether(c, m.document)
	if err != nil {
		return false
	}
	m.document, m.replaced = document, m.document
	return true
}

func putTogether(c *pb.PutBlocks, base *blocks.Document) (*blocks.Document, error) {
	assembly, err := blocks.Assemble(c.Outline, base, nil)
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

// putDocument is putBlocks for the whole documents in earlier builds' logs.
func (m *Machine) putDocument(d *pb.ConfigDocument) bool {
	if d.Version <= m.document.Version() {
		return false
	}
	m.document, m.replaced = blocks.Split(d.Version, d.Source), m.document
	return true
}

// PutBlocks makes the command that puts a document into force where base, which
// may be nil, is in force. A document that is not newer needs no blocks: the
// command then tells by its commit that the newer one is confirmed.
func PutBlocks(document, base *blocks.Document) *pb.CatalogCommand {
	command := &pb.PutBlocks{Outline: document.Outline()}
	if document.Version() > base.Version() {
		for _, sum := range document.Lacking(base) {
			command.Packed = append(command.Packed, document.Packed(sum))
		}
	} else {
		command.Outline = &pb.Outline{Version: document.Version()}
	}
	return &pb.CatalogCommand{Kind: &pb.CatalogCommand_PutBlocks{PutBlocks: command}}
}

// InForce gives the newest document with its blocks, nil before the first.
func (m *Machine) InForce() *blocks.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document
}

// Document gives the newest document as it was sent, nil before the first.
func (m *Machine) Document() *pb.ConfigDocument {
	d := m.InForce()
	if d == nil {
		return nil
	}
	return configDocument(d)
}

func configDocument(d *blocks.Document) *pb.ConfigDocument {
	return &pb.ConfigDocument{Version: d.Version(), Source: d.Source()}
}

// mostPart bounds the compressed blocks of one answer, bytes: 50 ms on a link of
// 10 Mbit/s. A transfer that is broken off loses less than this.
const mostPart = 64 << 10

// Blocks gives those of the blocks asked for that the newest document or the one
// before has, as many as fit into one answer, and one at least.
func (m *Machine) Blocks(sums []blocks.Sum) [][]byte {
	m.mu.Lock()
	document, replaced := m.document, m.replaced
	m.mu.Unlock()
	var list [][]byte
	size := 0
	for _, sum := range sums {
		packed := document.Packed(sum)
		if packed == nil {
			packed = replaced.Packed(sum)
		}
		size += len(packed)
		if size > mostPart && len(list) > 0 {
			break
		}
		if packed != nil {
			list = append(list, packed)
		}
	}
	return list
}

// restoreDocument gives the document of a snapshot, nil when it has none.
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
