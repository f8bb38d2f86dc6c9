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

// routes gives a document with n routes of some 195 bytes. Equal numbers have equal
// routes.
func routes(version int64, n int) []byte {
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
	first := blocks.Split(1, routes(1, 1000))
	l.apply(PutBlocks(first, nil))
	assert.Assert(t, bytes.Equal(l.machine.Document().Source, first.Source()))
	second := blocks.Split(2, routes(2, 1001))
	command := PutBlocks(second, l.machine.InForce())
	assert.Assert(t, proto.Size(command) < len(second.Source())/20, "%d", proto.Size(command))
	l.apply(command)
	assert.Assert(t, bytes.Equal(l.machine.Document().Source, second.Source()))
	l.apply(PutBlocks(first, l.machine.InForce()))
	assert.Equal(t, l.machine.Document().Version, int64(2), "an older one changes nothing")
}

// Two operators send changes at the same time; each is made for the document in
// force before. The second lacks blocks of the first's document and must not
// come into force in part: it is made anew.
func TestCommandThatLacksBlocksChangesNothing(t *testing.T) {
	l := newLog(t)
	base := blocks.Split(1, routes(1, 1000))
	l.apply(PutBlocks(base, nil))
	late := blocks.Split(3, routes(3, 1002))
	command := PutBlocks(late, l.machine.InForce())
	l.apply(PutBlocks(blocks.Split(2, []byte("all else is gone")), l.machine.InForce()))
	l.apply(command)
	assert.Equal(t, l.machine.Document().Version, int64(2))
	l.apply(PutBlocks(late, l.machine.InForce()))
	assert.Assert(t, bytes.Equal(l.machine.Document().Source, late.Source()))
}

// A member that took a snapshot and one that applied every command must take the
// same commands: the cuts of the document are part of the state.
func TestSnapshotHoldsTheCuts(t *testing.T) {
	l := newLog(t)
	l.apply(PutBlocks(blocks.Split(1, routes(1, 1000)), nil))
	data, err := l.machine.Snapshot()
	assert.NilError(t, err)
	other := NewMachine()
	assert.NilError(t, other.Restore(l.index, data))
	command, err := proto.Marshal(PutBlocks(blocks.Split(2, routes(2, 1001)), l.machine.InForce()))
	assert.NilError(t, err)
	other.Apply(l.index+1, command)
	assert.Equal(t, other.Document().Version, int64(2))
	assert.DeepEqual(t, other.InForce().Outline().Sizes, blocks.Split(2, routes(2, 1001)).Outline().Sizes)
}

// The log of an earlier build holds whole documents.
func TestWholeDocumentsOfEarlierBuilds(t *testing.T) {
	l := newLog(t)
	l.put(1, string(routes(1, 1000)))
	l.apply(PutBlocks(blocks.Split(2, routes(2, 1001)), l.machine.InForce()))
	assert.Equal(t, l.machine.Document().Version, int64(2))
	other := NewMachine()
	old, err := proto.Marshal(&pb.CatalogSnapshot{Document: &pb.ConfigDocument{Version: 7, Source: routes(7, 10)}})
	assert.NilError(t, err)
	assert.NilError(t, other.Restore(9, old))
	assert.Equal(t, other.InForce().Version(), int64(7))
}

// An answer with blocks has a bound, so that one that is broken off costs little,
// and holds one block at least, so that a transfer always goes on.
func TestBlocksComeInParts(t *testing.T) {
	l := newLog(t)
	noise := make([]byte, 1<<20) // it can't be compressed
	r := rand.New(rand.NewPCG(1, 1))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	document := blocks.Split(1, noise)
	l.apply(PutBlocks(document, nil))
	rest := document.Lacking(nil)
	parts := 0
	for len(rest) > 0 {
		got := l.machine.Blocks(rest)
		assert.Assert(t, len(got) > 0)
		size := 0
		for _, b := range got {
			size += len(b)
		}
		assert.Assert(t, size <= mostPart || len(got) == 1, "%d bytes", size)
		rest = rest[len(got):]
		parts++
	}
	assert.Assert(t, parts > 10, "%d", parts)
	assert.Equal(t, len(l.machine.Blocks([]blocks.Sum{{1}})), 0)
}

// Blocks of the document before are given too: entries ask for them while a newer
// one comes into force.
func TestBlocksOfTheDocumentBefore(t *testing.T) {
	l := newLog(t)
	first := blocks.Split(1, routes(1, 100))
	l.apply(PutBlocks(first, nil))
	l.apply(PutBlocks(blocks.Split(2, []byte("other")), first))
	assert.Equal(t, len(l.machine.Blocks(first.Lacking(nil))), len(first.Lacking(nil)))
}

// benchmarkEntry measures what one entry costs a member, and how many bytes it
// gets, when it holds base.
func benchmarkEntry(b *testing.B, n int, base *blocks.Document) {
	m := NewMachine()
	document := blocks.Split(2, routes(2, n))
	command, err := proto.Marshal(PutBlocks(document, nil))
	assert.NilError(b, err)
	m.Apply(1, command)
	bytes := 0
	for b.Loop() {
		bytes = 0
		outline, err := proto.Marshal(m.Since(base.Version(), 0).Outline)
		assert.NilError(b, err)
		bytes += len(outline)
		rest := document.Lacking(base)
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
		base := blocks.Split(1, routes(1, n-1))
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkEntry(b, n, base) })
	}
}

func BenchmarkEntryStart(b *testing.B) {
	for _, n := range []int{50, 1500, 10000, 50000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkEntry(b, n, nil) })
	}
}

// BenchmarkMemberChange is what a change costs each member that applies it.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range []int{50, 1500, 10000, 50000} {
		base := blocks.Split(1, routes(1, n-1))
		command := PutBlocks(blocks.Split(2, routes(2, n)), base).GetPutBlocks()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_, err := putTogether(command, base)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(proto.Size(command)), "B/change")
		})
	}
}
