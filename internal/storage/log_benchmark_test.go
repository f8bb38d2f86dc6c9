package storage_test

import (
	"encoding/binary"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/storage"
)

// batchSizes are the batch sizes of the benchmarks, which compare a Store with
// the embedded database bbolt: each saves batches of 256-byte entries with real
// syncs.
var batchSizes = []struct {
	name string
	n    uint64
}{{"1", 1}, {"16", 16}, {"128", 128}}

func benchmarkEntries(from, n uint64) []*pb.LogEntry {
	list := entries(from, from+n-1, 1)
	for _, e := range list {
		e.Data = make([]byte, 256)
	}
	return list
}

func BenchmarkSaveStore(b *testing.B) {
	for _, size := range batchSizes {
		b.Run(size.name, func(b *testing.B) {
			s, err := storage.Open(b.TempDir(), storage.OSFS{})
			assert.NilError(b, err)
			defer s.Close()
			next := uint64(1)
			for b.Loop() {
				assert.NilError(b, s.Save(&pb.HardState{Term: 1}, benchmarkEntries(next, size.n)))
				next += size.n
			}
		})
	}
}

func BenchmarkSaveBbolt(b *testing.B) {
	for _, size := range batchSizes {
		b.Run(size.name, func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "log"), 0o600, nil)
			assert.NilError(b, err)
			defer db.Close()
			next := uint64(1)
			for b.Loop() {
				assert.NilError(b, db.Update(func(tx *bbolt.Tx) error { return saveBbolt(tx, next, size.n) }))
				next += size.n
			}
		})
	}
}

func saveBbolt(tx *bbolt.Tx, from, n uint64) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte("log"))
	if err != nil {
		return err
	}
	bucket.FillPercent = 0.9
	for _, e := range benchmarkEntries(from, n) {
		data, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if err := bucket.Put(binary.BigEndian.AppendUint64(nil, e.Index), data); err != nil {
			return err
		}
	}
	return nil
}
