package catalog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/blocks"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// routesDocument returns a document with n routes of some 195 bytes. A route has the same
// bytes in all versions.
func routesDocument(version int64, n int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		r := rand.New(rand.NewPCG(uint64(i), 0))
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"bank%d.example","beginning":"/%08x/","repeatable":"idempotent","timeout_ms":3000,`+
			`"target_ms":300,"priority":2,"service":"app","max_attempts":2,"affinity":false,"resumable":false},`,
			r.Uint32()&0xfffffff, r.IntN(100), r.Uint32())
	}
	b.WriteString("]}")
	return b.Bytes()
}

func TestPutBlocks(t *testing.T) {
	l := newLog(t)
	first := blocks.Split(1, routesDocument(1, 1000))
	l.apply(PutBlocksCommand(first, nil))
	assert.Assert(t, bytes.Equal(l.machine.Document().Source, first.Source()))
	second := blocks.Split(2, routesDocument(2, 1001))
	command := PutBlocksCommand(second, l.machine.CurrentDocument())
	assert.Assert(t, proto.Size(command) < len(second.Source())/20, "%d", proto.Size(command))
	l.apply(command)
	assert.Assert(t, bytes.Equal(l.machine.Document().Source, second.Source()))
	l.apply(PutBlocksCommand(first, l.machine.CurrentDocument()))
	assert.Equal(t, l.machine.Document().Version, int64(2), "an older version changes nothing")
}

// Two operators submit changes at the same time, both built on the same document. The
// second command lacks blocks of the first document and must not be applied in part: it
// is built again.
func TestCommandWithMissingBlocksChangesNothing(t *testing.T) {
	l := newLog(t)
	base := blocks.Split(1, routesDocument(1, 1000))
	l.apply(PutBlocksCommand(base, nil))
	concurrent := blocks.Split(3, routesDocument(3, 1002))
	command := PutBlocksCommand(concurrent, l.machine.CurrentDocument())
	l.apply(PutBlocksCommand(blocks.Split(2, []byte("all else is gone")), l.machine.CurrentDocument()))
	l.apply(command)
	assert.Equal(t, l.machine.Document().Version, int64(2))
	l.apply(PutBlocksCommand(concurrent, l.machine.CurrentDocument()))
	assert.Assert(t, bytes.Equal(l.machine.Document().Source, concurrent.Source()))
}

// A member restored from a snapshot and one that applied every command must apply the
// same commands: the block boundaries of the document are part of the state.
func TestSnapshotKeepsBlockBoundaries(t *testing.T) {
	l := newLog(t)
	l.apply(PutBlocksCommand(blocks.Split(1, routesDocument(1, 1000)), nil))
	data, err := l.machine.Snapshot()
	assert.NilError(t, err)
	other := NewMachine()
	assert.NilError(t, other.Restore(l.index, data))
	command, err := proto.Marshal(PutBlocksCommand(blocks.Split(2, routesDocument(2, 1001)), l.machine.CurrentDocument()))
	assert.NilError(t, err)
	other.Apply(l.index+1, command)
	assert.Equal(t, other.Document().Version, int64(2))
	assert.DeepEqual(t, other.CurrentDocument().Outline().Sizes, blocks.Split(2, routesDocument(2, 1001)).Outline().Sizes)
}

// The log of an earlier build contains whole documents.
func TestWholeDocumentsOfEarlierBuilds(t *testing.T) {
	l := newLog(t)
	l.put(1, string(routesDocument(1, 1000)))
	l.apply(PutBlocksCommand(blocks.Split(2, routesDocument(2, 1001)), l.machine.CurrentDocument()))
	assert.Equal(t, l.machine.Document().Version, int64(2))
	other := NewMachine()
	old, err := proto.Marshal(&pb.CatalogSnapshot{Document: &pb.ConfigDocument{Version: 7, Source: routesDocument(7, 10)}})
	assert.NilError(t, err)
	assert.NilError(t, other.Restore(9, old))
	assert.Equal(t, other.CurrentDocument().Version(), int64(7))
}

// A reply with blocks is bounded, so that an interrupted one costs little, and contains
// at least one block, so that a transfer always makes progress.
func TestBlocksReplyIsBounded(t *testing.T) {
	l := newLog(t)
	noise := make([]byte, 1<<20) // not compressible
	r := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	document := blocks.Split(1, noise)
	l.apply(PutBlocksCommand(document, nil))
	rest := document.MissingFrom(nil)
	parts := 0
	for len(rest) > 0 {
		got := l.machine.Blocks(rest)
		assert.Assert(t, len(got) > 0)
		size := 0
		for _, b := range got {
			size += len(b)
		}
		assert.Assert(t, size <= maxBlocksReplySize || len(got) == 1, "%d bytes", size)
		rest = rest[len(got):]
		parts++
	}
	assert.Assert(t, parts > 10, "%d", parts)
	assert.Equal(t, len(l.machine.Blocks([]blocks.Sum{{1}})), 0)
}

// Blocks of the previous document are served too: entries ask for them while a newer
// document comes into force.
func TestBlocksOfThePreviousDocument(t *testing.T) {
	l := newLog(t)
	first := blocks.Split(1, routesDocument(1, 100))
	l.apply(PutBlocksCommand(first, nil))
	l.apply(PutBlocksCommand(blocks.Split(2, []byte("other")), first))
	assert.Equal(t, len(l.machine.Blocks(first.MissingFrom(nil))), len(first.MissingFrom(nil)))
}

// benchmarkEntry measures the cost of serving one entry that has the document held, and
// the bytes sent to it.
func benchmarkEntry(b *testing.B, n int, held *blocks.Document) {
	m := NewMachine()
	document := blocks.Split(2, routesDocument(2, n))
	command, err := proto.Marshal(PutBlocksCommand(document, nil))
	assert.NilError(b, err)
	m.Apply(1, command)
	bytes := 0
	for b.Loop() {
		bytes = 0
		outline, err := proto.Marshal(m.Since(held.Version(), 0).Outline)
		assert.NilError(b, err)
		bytes += len(outline)
		rest := document.MissingFrom(held)
		for len(rest) > 0 {
			part := m.Blocks(rest)
			rest = rest[len(part):]
			answer, err := proto.Marshal(&pb.BlocksReply{Packed: part})
			assert.NilError(b, err)
			bytes += len(answer)
		}
	}
	b.ReportMetric(float64(bytes), "B/entry")
}

func BenchmarkEntryChange(b *testing.B) {
	for _, n := range []int{50, 1500, 10000, 50000} {
		base := blocks.Split(1, routesDocument(1, n-1))
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkEntry(b, n, base) })
	}
}

func BenchmarkEntryStart(b *testing.B) {
	for _, n := range []int{50, 1500, 10000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkEntry(b, n, nil) })
	}
}

// BenchmarkMemberChange measures the cost of a change at each member that applies it.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range []int{50, 1500, 10000, 50000} {
		base := blocks.Split(1, routesDocument(1, n-1))
		command := PutBlocksCommand(blocks.Split(2, routesDocument(2, n)), base).GetPutBlocks()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_, err := assembleDocument(command, base)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(proto.Size(command)), "B/change")
		})
	}
}
