package catalog

import (
	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// maxUnpackedBytes bounds the records of one Delta without compression: a command has at
// most some thousand of them, of a few hundred bytes.
const maxUnpackedBytes = 8 << 20

// Packer compresses the endpoints of one Delta. It is not safe for concurrent use.
type Packer struct{ encoder *zstd.Encoder }

// NewPacker returns a Packer.
func NewPacker() (*Packer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	return &Packer{encoder: encoder}, trace.Wrap(err)
}

// Pack returns the compressed endpoints.
func (p *Packer) Pack(endpoints []*pb.EndpointRecord) ([]byte, error) {
	data, err := proto.Marshal(&pb.EndpointRecords{Endpoints: endpoints})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return p.encoder.EncodeAll(data, nil), nil
}

// Unpack returns the endpoints that a Packer has compressed.
func Unpack(packed []byte) ([]*pb.EndpointRecord, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var records pb.EndpointRecords
	err = proto.Unmarshal(data, &records)
	return records.Endpoints, trace.Wrap(err)
}
