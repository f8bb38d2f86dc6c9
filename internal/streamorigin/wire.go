package streamorigin

import (
	"encoding/binary"
	"time"
	"unique"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// streamBytes is the size of one stream in a batch.
const streamBytes = len(Key{}) + 4

// maxTTL limits how long a peer may ask to keep a record.
const maxTTL = 10 * time.Minute

// stream is one record as it is sent to control instances.
type stream struct {
	key      Key
	origin   unique.Handle[Origin]
	endpoint EndpointSum
	ttl      time.Duration
}

// batchKey is what the streams of one batch have in common.
type batchKey struct {
	origin unique.Handle[Origin]
	ttlS   uint32
}

func batchesToWire(streams []stream) []*pb.StreamBatch {
	batches := map[batchKey]*pb.StreamBatch{}
	var list []*pb.StreamBatch
	for _, s := range streams {
		key := batchKey{origin: s.origin, ttlS: uint32((s.ttl + time.Second - 1) / time.Second)}
		batch := batches[key]
		if batch == nil {
			origin := s.origin.Value()
			batch = &pb.StreamBatch{Service: origin.Service, Software: origin.Software, TtlS: key.ttlS}
			batches[key] = batch
			list = append(list, batch)
		}
		batch.Streams = append(batch.Streams, s.key[:]...)
		batch.Streams = binary.BigEndian.AppendUint32(batch.Streams, uint32(s.endpoint))
	}
	return list
}

// streamsFromWire returns the streams of a batch. An incomplete last one is ignored.
func streamsFromWire(batch *pb.StreamBatch) []stream {
	origin := unique.Make(Origin{Service: batch.Service, Software: batch.Software})
	ttl := min(time.Duration(batch.TtlS)*time.Second, maxTTL)
	list := make([]stream, 0, len(batch.Streams)/streamBytes)
	for data := batch.Streams; len(data) >= streamBytes; data = data[streamBytes:] {
		list = append(list, stream{
			key: Key(data[:len(Key{})]), origin: origin, ttl: ttl,
			endpoint: EndpointSum(binary.BigEndian.Uint32(data[len(Key{}):streamBytes])),
		})
	}
	return list
}
