package blocks

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// text gives n lines of some 200 bytes, alike for equal numbers.
func text(lines ...int) []byte {
	var b bytes.Buffer
	for _, n := range lines {
		r := rand.New(rand.NewPCG(uint64(n), 0))
		fmt.Fprintf(&b, "%0150d %x %x\n", n, r.Uint64(), r.Uint64())
	}
	return b.Bytes()
}

// upTo gives the numbers below n.
func upTo(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// bring takes over a document as a process does that holds base, and tells how
// many bytes it cost.
func bring(t *testing.T, from, base *Document) (*Document, int) {
	t.Helper()
	assembly, err := Assemble(from.Outline(), base, nil)
	assert.NilError(t, err)
	cost := 0
	for _, sum := range assembly.Missing(1<<20, nil) {
		packed := from.Packed(sum)
		cost += len(packed)
		err := assembly.Add(packed)
		assert.NilError(t, err)
	}
	document, err := assembly.Document()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(document.Source(), from.Source()))
	return document, cost
}

// What a change costs follows what it changes, not the size of the document.
func TestAChangeCostsWhatItChanges(t *testing.T) {
	before := Split(1, text(upTo(5000)...))
	held, whole := bring(t, before, nil)
	for name, lines := range map[string][]int{
		"one line more":       upTo(5001),
		"one line in between": append(append(upTo(2000), 77777), upTo(5000)[2000:]...),
		"one line less":       append(upTo(2000), upTo(5000)[2001:]...),
		"nothing":             upTo(5000),
	} {
		t.Run(name, func(t *testing.T) {
			_, cost := bring(t, Split(2, text(lines...)), held)
			assert.Assert(t, cost*20 < whole, "%d of %d bytes", cost, whole)
		})
	}
}

func TestDocumentsOfAllSizes(t *testing.T) {
	for _, n := range []int{0, 1, 3, 100, 3000} {
		bring(t, Split(int64(n)+1, text(upTo(n)...)), nil)
	}
	bring(t, Split(1, bytes.Repeat([]byte("the same block again and again "), 20000)), nil)
}

// A transfer that was broken off goes on with what has come, also towards a
// version that has overtaken it.
func TestAnAssemblyGoesOnWhereAnotherWasLeft(t *testing.T) {
	first := Split(1, text(upTo(3000)...))
	left, err := Assemble(first.Outline(), nil, nil)
	assert.NilError(t, err)
	half := left.Missing(len(first.Outline().Blocks)/2, nil)
	for _, sum := range half {
		err := left.Add(first.Packed(sum))
		assert.NilError(t, err)
	}
	second := Split(2, text(upTo(3010)...))
	goesOn, err := Assemble(second.Outline(), nil, left)
	assert.NilError(t, err)
	missing := len(goesOn.Missing(1<<20, nil))
	assert.Assert(t, missing <= len(second.Outline().Blocks)-len(half), "%d", missing)
	for _, sum := range goesOn.Missing(1<<20, nil) {
		err := goesOn.Add(second.Packed(sum))
		assert.NilError(t, err)
	}
	document, err := goesOn.Document()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(document.Source(), second.Source()))
}

func TestMissingPassesOverWhatIsOnItsWay(t *testing.T) {
	d := Split(1, text(upTo(1000)...))
	a, err := Assemble(d.Outline(), nil, nil)
	assert.NilError(t, err)
	first := a.Missing(3, nil)
	assert.Equal(t, len(first), 3)
	asked := map[Sum]bool{}
	for _, sum := range first {
		asked[sum] = true
	}
	for _, sum := range a.Missing(1<<20, asked) {
		assert.Assert(t, !asked[sum])
	}
}

// Bytes that are no block, blocks that nobody asked for and outlines that are not
// whole put nothing into a document.
func TestWhatIsNotTheDocumentIsNotTakenIn(t *testing.T) {
	d := Split(1, text(upTo(1000)...))
	a, err := Assemble(d.Outline(), nil, nil)
	assert.NilError(t, err)
	err = a.Add([]byte("no block"))
	assert.Assert(t, err != nil)
	other := Split(1, text(5000, 5001))
	err = a.Add(other.Packed(Sum(other.Outline().Blocks[0])))
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
		_, err := Assemble(outline, nil, nil)
		assert.Assert(t, err != nil, name)
	}
}

// The blocks are right and their order is not: the digest of the whole tells.
func TestWrongOrderIsFound(t *testing.T) {
	d := Split(1, text(upTo(1000)...))
	o := d.Outline()
	wrong := &pb.Outline{Version: 1, Digest: o.Digest, Blocks: [][]byte{o.Blocks[1], o.Blocks[0]}, Sizes: []uint32{o.Sizes[1], o.Sizes[0]}}
	a, err := Assemble(wrong, d, nil)
	assert.NilError(t, err)
	_, err = a.Document()
	assert.ErrorContains(t, err, "digest differs")
}

func TestRestore(t *testing.T) {
	d := Split(4, text(upTo(1000)...))
	again, err := Restore(d.Outline(), d.Source())
	assert.NilError(t, err)
	assert.Equal(t, again.Version(), int64(4))
	assert.Equal(t, len(again.Lacking(d)), 0)
	_, err = Restore(d.Outline(), d.Source()[1:])
	assert.Assert(t, err != nil)
}

func FuzzAdd(f *testing.F) {
	d := Split(1, text(upTo(100)...))
	f.Add(d.Packed(Sum(d.Outline().Blocks[0])))
	f.Add([]byte{0x28, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, packed []byte) {
		a, err := Assemble(d.Outline(), nil, nil)
		assert.NilError(t, err)
		if err := a.Add(packed); err != nil {
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
