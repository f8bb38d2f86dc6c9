package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// readerSize is the buffer of one stream in bytes; most chunks fit in it.
const readerSize = 4096

var (
	dataField = []byte("data:")
	space     = []byte(" ")
	fields    = [][]byte{[]byte("event:"), []byte("id:"), []byte("retry:")}
)

// chunkReader reads the chunks of a server-sent event stream, one a data
// line. Comments and other fields are passed over.
type chunkReader struct {
	buffer  *bufio.Reader
	long    []byte // a line longer than the buffer
	maxLine int
	attempt fleet.AttemptID // whose chunks are expected
}

func newChunkReader(r io.Reader, maxLine int, attempt fleet.AttemptID) *chunkReader {
	return &chunkReader{buffer: bufio.NewReaderSize(r, readerSize), maxLine: maxLine, attempt: attempt}
}

// next gives the next chunk. The stream's end gives ErrBroken: whole streams
// end at a chunk with Finish set, after which next isn't called.
func (r *chunkReader) next() (engineapi.Chunk, error) {
	for {
		line, err := r.line()
		if err != nil {
			return engineapi.Chunk{}, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if ok {
			return decodeChunk(data, r.attempt)
		}
		if !passedOver(line) {
			return engineapi.Chunk{}, fmt.Errorf("%w: not an event line", ErrMalformed)
		}
	}
}

// line gives one line without its end; it is valid until the next call.
func (r *chunkReader) line() ([]byte, error) {
	line, err := r.buffer.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.longLine(line)
	}
	if errors.Is(err, ErrOversized) {
		return nil, err
	}
	if err != nil {
		return nil, brokenBy(err)
	}
	if len(line) > r.maxLine {
		return nil, fmt.Errorf("%w: line over %d bytes", ErrOversized, r.maxLine)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// brokenBy makes the error of a stream that ends before its last chunk, be it
// inside a line.
//
// Failure: the connection ends early with io.EOF, and a caller that looks for
// io.EOF as the mark of a whole stream takes half an answer for a whole one.
// io.EOF is therefore never in the chain of a failure.
func brokenBy(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

func (r *chunkReader) longLine(head []byte) ([]byte, error) {
	r.long = append(r.long[:0], head...)
	for {
		part, err := r.buffer.ReadSlice('\n')
		r.long = append(r.long, part...)
		if len(r.long) > r.maxLine {
			return nil, fmt.Errorf("%w: line over %d bytes", ErrOversized, r.maxLine)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.long, err
		}
	}
}

func passedOver(line []byte) bool {
	if len(line) == 0 || line[0] == ':' {
		return true
	}
	for _, f := range fields {
		if bytes.HasPrefix(line, f) {
			return true
		}
	}
	return false
}

func decodeChunk(data []byte, attempt fleet.AttemptID) (engineapi.Chunk, error) {
	if chunk, ok := parseChunk(bytes.TrimPrefix(data, space), attempt); ok {
		return chunk, nil
	}
	var chunk engineapi.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return engineapi.Chunk{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return chunk, nil
}
