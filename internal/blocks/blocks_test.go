package blocks

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// text returns a line of some 200 bytes for each number; equal numbers give equal lines.
func text(lines ...int) []byte {
	var b bytes.Buffer
	for _, n := range lines {
		r := rand.New(rand.NewPCG(uint64(n), 0))
		fmt.Fprintf(&b, "%0150d %x %x\n", n, r.Uint64(), r.Uint64())
	}
	return b.Bytes()
}

// upTo returns the numbers below n.
func upTo(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// transfer copies a document to a process that has base, and returns the copy and how
// many bytes were sent.
func transfer(t *testing.T, from, base *Document) (*Document, int) {
	t.Helper()
	assembly, err := NewAssembly(from.Outline(), base, nil)
	assert.NilError(t, err)
	size := 0
	for _, sum := range assembly.Missing(1<<20, nil) {
		compressed := from.Compressed(sum)
		size += len(compressed)
		err := assembly.Add(compressed)
		assert.NilError(t, err)
	}
	document, err := assembly.Document()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(document.Source(), from.Source()))
	return document, size
}

// The size of a transfer depends on the size of the change, not of the document.
func TestTransferSizeFollowsTheChange(t *testing.T) {
	before := Split(1, text(upTo(5000)...))
	base, total := transfer(t, before, nil)
	for name, lines := range map[string][]int{
		"one line more":       upTo(5001),
		"one line in between": append(append(upTo(2000), 77777), upTo(5000)[2000:]...),
		"one line less":       append(upTo(2000), upTo(5000)[2001:]...),
		"nothing":             upTo(5000),
	} {
		t.Run(name, func(t *testing.T) {
			_, cost := transfer(t, Split(2, text(lines...)), base)
			assert.Assert(t, cost*20 < total, "%d of %d bytes", cost, total)
		})
	}
}

func TestDocumentsOfAllSizes(t *testing.T) {
	for _, n := range []int{0, 1, 3, 100, 3000} {
		transfer(t, Split(int64(n)+1, text(upTo(n)...)), nil)
	}
	transfer(t, Split(1, bytes.Repeat([]byte("the same block again and again "), 20000)), nil)
}

// An interrupted transfer resumes with the blocks received so far, even for a newer
// version.
func TestAssemblyResumes(t *testing.T) {
	first := Split(1, text(upTo(3000)...))
	interrupted, err := NewAssembly(first.Outline(), nil, nil)
	assert.NilError(t, err)
	half := interrupted.Missing(len(first.Outline().Blocks)/2, nil)
	for _, sum := range half {
		err := interrupted.Add(first.Compressed(sum))
		assert.NilError(t, err)
	}
	second := Split(2, text(upTo(3010)...))
	resumed, err := NewAssembly(second.Outline(), nil, interrupted)
	assert.NilError(t, err)
	missing := len(resumed.Missing(1<<20, nil))
	assert.Assert(t, missing <= len(second.Outline().Blocks)-len(half), "%d", missing)
	for _, sum := range resumed.Missing(1<<20, nil) {
		err := resumed.Add(second.Compressed(sum))
		assert.NilError(t, err)
	}
	document, err := resumed.Document()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(document.Source(), second.Source()))
}

func TestMissingSkipsRequestedBlocks(t *testing.T) {
	d := Split(1, text(upTo(1000)...))
	a, err := NewAssembly(d.Outline(), nil, nil)
	assert.NilError(t, err)
	first := a.Missing(3, nil)
	assert.Equal(t, len(first), 3)
	requested := map[Sum]bool{}
	for _, sum := range first {
		requested[sum] = true
	}
	for _, sum := range a.Missing(1<<20, requested) {
		assert.Assert(t, !requested[sum])
	}
}

// Invalid bytes, blocks that were not requested and malformed outlines add nothing to a
// document.
func TestInvalidBlocksAndOutlinesAreRejected(t *testing.T) {
	d := Split(1, text(upTo(1000)...))
	a, err := NewAssembly(d.Outline(), nil, nil)
	assert.NilError(t, err)
	err = a.Add([]byte("no block"))
	assert.Assert(t, err != nil)
	other := Split(1, text(5000, 5001))
	err = a.Add(other.Compressed(Sum(other.Outline().Blocks[0])))
	assert.NilError(t, err)
	assert.Equal(t, len(a.Missing(1<<20, nil)), len(d.Outline().Blocks))
	_, err = a.Document()
	assert.ErrorContains(t, err, "lacks")
	for name, outline := range map[string]*pb.Outline{
		"none":         nil,
		"no digest":    {Version: 1},
		"no sizes":     {Version: 1, Digest: d.Outline().Digest, Blocks: d.Outline().Blocks},
		"short name":   {Version: 1, Digest: d.Outline().Digest, Blocks: [][]byte{{1}}, Sizes: []uint32{1}},
		"huge block":   {Version: 1, Digest: d.Outline().Digest, Blocks: d.Outline().Blocks[:1], Sizes: []uint32{1 << 31}},
		"of no length": {Version: 1, Digest: d.Outline().Digest, Blocks: d.Outline().Blocks[:1], Sizes: []uint32{0}},
	} {
		_, err := NewAssembly(outline, nil, nil)
		assert.Assert(t, err != nil, name)
	}
}

// The blocks are right but in the wrong order, which the digest of the document detects.
func TestWrongBlockOrderIsDetected(t *testing.T) {
	d := Split(1, text(upTo(1000)...))
	o := d.Outline()
	wrong := &pb.Outline{Version: 1, Digest: o.Digest, Blocks: [][]byte{o.Blocks[1], o.Blocks[0]}, Sizes: []uint32{o.Sizes[1], o.Sizes[0]}}
	a, err := NewAssembly(wrong, d, nil)
	assert.NilError(t, err)
	_, err = a.Document()
	assert.ErrorContains(t, err, "digest differs")
}

func TestRestore(t *testing.T) {
	d := Split(4, text(upTo(1000)...))
	restored, err := Restore(d.Outline(), d.Source())
	assert.NilError(t, err)
	assert.Equal(t, restored.Version(), int64(4))
	assert.Equal(t, len(restored.MissingFrom(d)), 0)
	_, err = Restore(d.Outline(), d.Source()[1:])
	assert.Assert(t, err != nil)
}

func FuzzAdd(f *testing.F) {
	d := Split(1, text(upTo(100)...))
	f.Add(d.Compressed(Sum(d.Outline().Blocks[0])))
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, compressed []byte) {
		a, err := NewAssembly(d.Outline(), nil, nil)
		assert.NilError(t, err)
		if err := a.Add(compressed); err != nil {
			return
		}
		if document, err := a.Document(); err == nil {
			assert.Assert(t, bytes.Equal(document.Source(), d.Source()))
		}
	})
}

func BenchmarkSplit(b *testing.B) {
	for _, lines := range []int{50, 1500, 10000, 50000} {
		source := text(upTo(lines)...)
		b.Run(fmt.Sprint(lines), func(b *testing.B) {
			b.SetBytes(int64(len(source)))
			for b.Loop() {
				Split(1, source)
			}
		})
	}
}
