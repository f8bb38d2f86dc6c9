package storage

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The decoder must neither panic on arbitrary bytes nor accept a record that the
// encoder would not produce.
func FuzzDecodeRecord(f *testing.F) {
	payload, err := proto.Marshal(&pb.LogBatch{HardState: &pb.HardState{Term: 3}, Entries: []*pb.LogEntry{{Index: 1, Term: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(appendRecord(nil, "disk", 7, payload))
	f.Add(appendRecord(nil, "other", 7, payload))
	f.Add([]byte{0x9e, 'h', 's', 0xa1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		findRecord(data, "disk")
		r, err := decodeRecord(data, "disk")
		if err != nil {
			return
		}
		if again := appendRecord(nil, "disk", r.number, r.payload); !bytes.Equal(again, data[:r.size]) {
			t.Fatalf("record %x reads as %x", data[:r.size], again)
		}
		log := replay{}
		if log.applyPayload(r.payload) == nil && log.checkComplete() == nil {
			log.entriesAfterSnapshot()
		}
	})
}
