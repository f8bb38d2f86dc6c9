package follower

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// download fetches the newest configuration document: it decides which blocks to request
// next. Received blocks are kept until no version needs them, so that a transfer resumes
// after a broken connection, and a newer version replaces one still being fetched without
// losing the blocks they share.
type download struct {
	document  *blocks.Document // the newest complete one; nil before the first
	assembly  *blocks.Assembly // the one being fetched; nil if there is none
	requested map[blocks.Sum]bool
	startedAt time.Time // when the version being fetched was announced
	received  int       // compressed bytes received for it
}

// latestKnown returns the newest version announced, complete or not.
func (d *download) latestKnown() int64 {
	if d.assembly != nil {
		return d.assembly.Outline().Version
	}
	return d.document.Version()
}

// setTarget starts fetching a newer version. It returns false if the version is not
// newer.
func (d *download) setTarget(outline *pb.Outline, now time.Time) (bool, error) {
	if outline.GetVersion() <= d.latestKnown() {
		return false, nil
	}
	assembly, err := blocks.NewAssembly(outline, d.document, d.assembly)
	if err != nil {
		return false, err
	}
	d.assembly, d.startedAt, d.received = assembly, now, 0
	return true, nil
}

// nextBlocks returns blocks to request from one member, none if all missing blocks have
// been requested. It marks them as requested.
func (d *download) nextBlocks() []blocks.Sum {
	if d.assembly == nil {
		return nil
	}
	list := d.assembly.Missing(maxBlocksPerRequest, d.requested)
	for _, sum := range list {
		d.requested[sum] = true
	}
	return list
}

// addBlocks adds the reply to a request for blocks from nextBlocks, and returns how many
// blocks it contained. The others may be requested again.
func (d *download) addBlocks(requested []blocks.Sum, packed [][]byte) (added int, err error) {
	for _, sum := range requested {
		delete(d.requested, sum)
	}
	if d.assembly == nil {
		return len(packed), nil // the version was replaced by a newer one
	}
	for _, p := range packed {
		if err := d.assembly.Add(p); err != nil {
			return added, err
		}
		added++
		d.received += len(p)
	}
	return added, nil
}

// finish returns the fetched document once it is complete, nil before. A document that
// differs from the confirmed one is discarded, so that it is announced again.
func (d *download) finish() (*blocks.Document, error) {
	if d.assembly == nil || !d.assembly.Complete() {
		return nil, nil
	}
	document, err := d.assembly.Document()
	d.assembly = nil
	if err != nil {
		return nil, err
	}
	d.document = document
	return document, nil
}
