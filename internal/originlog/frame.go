package originlog

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// A frame holds the records of one call, integers little endian:
//
//	length   4 bytes, of the payload
//	checksum 4 bytes, CRC-32C of the payload
//	payload  a RecordStreamsRequest
const (
	frameHeaderBytes = 8
	// maxPayloadBytes is above any frame: that of all records that an instance holds.
	maxPayloadBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeFrame(batches []*pb.StreamBatch) ([]byte, error) {
	payload, err := proto.Marshal(&pb.RecordStreamsRequest{Batches: batches})
	if err != nil {
		return nil, err
	}
	var header [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	return append(header[:], payload...), nil
}

// decodeFrames returns the records of the frames in data, up to the first that is not valid, and the
// bytes from there on.
func decodeFrames(data []byte) (batches []*pb.StreamBatch, rest int) {
	for len(data) >= frameHeaderBytes {
		length := int64(binary.LittleEndian.Uint32(data))
		if length > maxPayloadBytes || length > int64(len(data)-frameHeaderBytes) {
			break
		}
		payload := data[frameHeaderBytes : frameHeaderBytes+int(length)]
		request := &pb.RecordStreamsRequest{}
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) || proto.Unmarshal(payload, request) != nil {
			break
		}
		batches = append(batches, request.Batches...)
		data = data[frameHeaderBytes+int(length):]
	}
	return batches, len(data)
}
