package blocks

import (
	"github.com/klauspost/compress/zstd"
)

// newEncoder returns a compressor that takes one block at a time, which limits its memory
// to some 0.3 MB.
func newEncoder() *zstd.Encoder {
	return must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(maxBlockSize), zstd.WithLowerEncoderMem(true)))
}

// newDecoder returns the decompressor; it rejects data that is larger than any block.
func newDecoder() *zstd.Decoder {
	return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxBlockSize)))
}

// must returns value and panics on an error; it is for constant options, which can't
// fail.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
