package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// maxEventBytes is the maximum length of one line of a stream.
const maxEventBytes = 1 << 20

// event is one server-sent event of a response.
type event struct {
	text   []byte // valid until the next event is read
	finish bool
	done   bool             // callerapi.StreamDone
	failed *callerapi.Error // the stream's error; nil if none
}

// eventReader reads the events of a stream.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, 4096)}
}

var dataPrefix = []byte("data:")

// next returns the next event; io.EOF at the end of the body.
func (r *eventReader) next() (event, error) {
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		return decodeEvent(bytes.TrimSpace(data))
	}
}

func (r *eventReader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, err
	}
	long := append([]byte(nil), line...)
	for err == bufio.ErrBufferFull && len(long) < maxEventBytes {
		line, err = r.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

var (
	textField   = []byte(`"text":"`)
	finishNull  = []byte(`"finish_reason":null`)
	finishField = []byte(`"finish_reason":"`)
	errorField  = []byte(`"error":`)
)

// decodeEvent extracts the fields of the usual event without a full JSON decode,
// which would take a whole core at 40,000 events per second. An event that may have
// another form is decoded fully.
func decodeEvent(data []byte) (event, error) {
	if string(data) == callerapi.StreamDone {
		return event{done: true}, nil
	}
	_, rest, ok := bytes.Cut(data, textField)
	end := bytes.IndexByte(rest, '"')
	if !ok || end < 0 || bytes.IndexByte(rest[:end], '\\') >= 0 || bytes.Contains(data, errorField) {
		return decodeFully(data)
	}
	finished := bytes.Contains(rest[end:], finishField)
	if !finished && !bytes.Contains(rest[end:], finishNull) {
		return decodeFully(data)
	}
	return event{text: rest[:end], finish: finished}, nil
}

func decodeFully(data []byte) (event, error) {
	var reply struct {
		callerapi.CompletionReply
		Error *callerapi.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &reply); err != nil {
		return event{}, trace.BadParameter("event: %v", err)
	}
	if reply.Error != nil {
		return event{failed: reply.Error}, nil
	}
	var e event
	for _, c := range reply.Choices {
		e.text = append(e.text, c.Text...)
		if c.Delta != nil {
			e.text = append(e.text, c.Delta.Content...)
		}
		e.finish = e.finish || c.FinishReason != nil
	}
	return e, nil
}
