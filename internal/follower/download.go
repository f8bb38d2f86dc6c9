package follower

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// download brings the newest configuration document here: it decides which blocks
// to ask for next. Whatever has come is kept until no version wants it, so that a
// transfer goes on where a broken connection left it, and a newer version
// overtakes an older one on its way without losing what they share.
type download struct {
	document *blocks.Document // the newest that is whole; nil before the first
	assembly *blocks.Assembly // the one on its way; nil when there is none
	asked    map[blocks.Sum]bool
	began    time.Time // when the version on its way was told
	received int       // compressed bytes for it
}

// known is the newest version that was told, whole or not.
func (d *download) known() int64 {
	if d.assembly != nil {
		return d.assembly.Outline().Version
	}
	return d.document.Version()
}

// aim turns to a newer version; false when it is not newer.
func (d *download) aim(outline *pb.Outline, now time.Time) (bool, error) {
	if outline.GetVersion() <= d.known() {
		return false, nil
	}
	assembly, err := blocks.NewAssembly(outline, d.document, d.assembly)
	if err != nil {
		return false, err
	}
	d.assembly, d.began, d.received = assembly, now, 0
	return true, nil
}

// next gives blocks to ask one member for; none when all that are missing are on
// their way.
func (d *download) next() []blocks.Sum {
	if d.assembly == nil {
		return nil
	}
	list := d.assembly.Missing(mostAsked, d.asked)
	for _, sum := range list {
		d.asked[sum] = true
	}
	return list
}

// take takes in the answer to blocks that next gave, and tells how many of them
// came. The others may be asked for again.
func (d *download) take(asked []blocks.Sum, packed [][]byte) (came int, err error) {
	for _, sum := range asked {
		delete(d.asked, sum)
	}
	if d.assembly == nil {
		return len(packed), nil // a version that was overtaken
	}
	for _, p := range packed {
		if err := d.assembly.Add(p); err != nil {
			return came, err
		}
		came++
		d.received += len(p)
	}
	return came, nil
}

// finish gives the document on its way once it is whole, nil before. One that is
// not what was confirmed is forgotten, so that it is told anew.
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
