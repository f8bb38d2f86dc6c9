package blocks

import (
	"github.com/klauspost/compress/zstd"
)

// newPacker gives a compressor of single blocks. One block is compressed at a
// time, which bounds its memory to some 0.3 MB.
func newPacker() *zstd.Encoder {
	return must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(mostBlock), zstd.WithLowerEncoderMem(true)))
}

// newUnpacker gives the reverse; it refuses what is larger than a block can be.
func newUnpacker() *zstd.Decoder {
	return must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostBlock)))
}

// must is for options that are constants.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
