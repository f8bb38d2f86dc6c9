package coordinator

import (
	"slices"
	"sync"

	"github.com/hyssopsail/hyssopsail/internal/catalog"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

const (
	// minPackedRecords is how many endpoints are worth packing.
	minPackedRecords = 64
	// maxPackedParts bounds the parts that are kept: a fleet of 60,000 endpoints.
	maxPackedParts = 128
)

// packedParts caches the packed parts of the fleet that entries receive at their start.
//
// Load pattern: all entries start at once and receive all endpoints, in the same parts. Each
// part is encoded once, whatever the number of entries, and has a sixth of its size.
//
// Its lock is a leaf.
type packedParts struct {
	mu     sync.Mutex
	packer *catalog.Packer // nil before the first part
	parts  map[uint64]packedPart
}

// packedPart is the endpoints that changed after a revision, packed.
type packedPart struct {
	endpoints []*pb.EndpointRecord
	packed    []byte
}

// pack returns the packed endpoints that changed after a revision.
func (p *packedParts) pack(after uint64, endpoints []*pb.EndpointRecord) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if part, ok := p.parts[after]; ok && slices.Equal(part.endpoints, endpoints) {
		return part.packed, nil
	}
	if p.packer == nil {
		packer, err := catalog.NewPacker()
		if err != nil {
			return nil, err
		}
		p.packer = packer
	}
	packed, err := p.packer.Pack(endpoints)
	if err != nil {
		return nil, err
	}
	if p.parts == nil || len(p.parts) >= maxPackedParts {
		p.parts = map[uint64]packedPart{}
	}
	p.parts[after] = packedPart{endpoints: endpoints, packed: packed}
	return packed, nil
}
