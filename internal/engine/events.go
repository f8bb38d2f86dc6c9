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
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// readBufferBytes is the buffer size of one stream; most chunks fit in it.
const readBufferBytes = 4096

var (
	dataField     = []byte("data:")
	space         = []byte(" ")
	ignoredFields = [][]byte{[]byte("event:"), []byte("id:"), []byte("retry:")}
)

// chunkReader reads the chunks of a server-sent event stream, one in each data
// line. Comments and other fields are ignored.
type chunkReader struct {
	reader       *bufio.Reader
	longBuffer   []byte // holds a line longer than reader's buffer
	maxLineBytes int
	attempt      fleet.AttemptID // expected in the chunks
}

func newChunkReader(r io.Reader, maxLineBytes int, attempt fleet.AttemptID) *chunkReader {
	return &chunkReader{reader: bufio.NewReaderSize(r, readBufferBytes), maxLineBytes: maxLineBytes, attempt: attempt}
}

// next returns the next chunk. At the stream's end it returns ErrTruncated: complete
// streams end with a chunk that has Finish set, after which next isn't called.
func (r *chunkReader) next() (engineapi.Chunk, error) {
	for {
		line, err := r.readLine()
		if err != nil {
			return engineapi.Chunk{}, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if ok {
			return decodeChunk(data, r.attempt)
		}
		if !isIgnoredLine(line) {
			return engineapi.Chunk{}, fmt.Errorf("%w: not an event line", ErrMalformed)
		}
	}
}

// readLine returns one line without its line ending. It is valid until the next call.
func (r *chunkReader) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if errors.Is(err, ErrOversized) {
		return nil, err
	}
	if err != nil {
		return nil, truncatedError(err)
	}
	if len(line) > r.maxLineBytes {
		return nil, oversized(readlimit.Event, int64(len(line)), int64(r.maxLineBytes))
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// truncatedError returns the error for a stream that ends before its last chunk,
// possibly inside a line.
//
// Failure: the connection ends early with io.EOF, and a caller that checks for
// io.EOF as the end of a complete stream takes a partial answer for a complete
// one. An error therefore never wraps io.EOF.
func truncatedError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrTruncated, err)
}

func (r *chunkReader) readLongLine(head []byte) ([]byte, error) {
	r.longBuffer = append(r.longBuffer[:0], head...)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.longBuffer = append(r.longBuffer, part...)
		if len(r.longBuffer) > r.maxLineBytes {
			return nil, oversized(readlimit.Event, int64(len(r.longBuffer)), int64(r.maxLineBytes))
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.longBuffer, err
		}
	}
}

func isIgnoredLine(line []byte) bool {
	if len(line) == 0 || line[0] == ':' {
		return true
	}
	for _, f := range ignoredFields {
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
