package entry

import (
	"encoding/json"
	"strconv"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// eventWriter builds the server-sent events of one answer. The parts that all
// events share are encoded once: encoding/json for each token would cost more
// than the rest of the relay.
type eventWriter struct {
	prefix []byte // before the token's text
	suffix []byte // between the text and the finish reason
	buffer []byte // reused
}

const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

func newEventWriter(h replyFields) *eventWriter {
	object, before, after := "text_completion", `{"index":0,"text":`, `,"finish_reason":`
	if h.format == formatChat {
		object = "chat.completion.chunk"
		before, after = `{"index":0,"delta":{"role":"assistant","content":`, `},"finish_reason":`
	}
	b := []byte(eventStart + `{"id":`)
	b = appendString(b, h.id)
	b = append(b, `,"object":`...)
	b = appendString(b, object)
	b = append(b, `,"created":`...)
	b = strconv.AppendInt(b, h.created, 10)
	b = append(b, `,"model":`...)
	b = appendString(b, h.model)
	b = append(b, `,"choices":[`...)
	b = append(b, before...)
	return &eventWriter{prefix: b, suffix: []byte(after)}
}

// chunk returns the event of one chunk. It is valid until the next call.
func (w *eventWriter) chunk(c engineapi.Chunk) []byte {
	b := append(w.buffer[:0], w.prefix...)
	b = appendString(b, c.Text)
	b = append(b, w.suffix...)
	if c.Finish == engineapi.FinishNone {
		b = append(b, "null"...)
	} else {
		b = appendString(b, string(c.Finish))
	}
	b = append(b, "}]}"+eventEnd...)
	w.buffer = b
	return b
}

// appendString appends s as a JSON string. ASCII that needs no escaping, as in
// most tokens, is copied; all else goes through encoding/json.
func appendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if !isUnescapedASCII(s[i]) {
			return appendMarshalled(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func isUnescapedASCII(c byte) bool {
	if c < ' ' || c >= 0x7f {
		return false
	}
	switch c {
	case '"', '\\', '<', '>', '&':
		return false
	}
	return true
}

func appendMarshalled(b []byte, s string) []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string always encodes
	}
	return append(b, encoded...)
}
