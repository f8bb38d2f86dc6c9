package entry

import (
	"encoding/json"
	"strconv"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
)

// eventWriter builds the server-sent events of one answer. What all events
// share is encoded once: encoding/json for each token would cost more than
// the rest of the relay.
type eventWriter struct {
	head  []byte // up to the token's text
	tail  []byte // after it, up to the finish reason
	event []byte // reused
}

const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

func newEventWriter(h replyHead) *eventWriter {
	object, before, after := "text_completion", `{"index":0,"text":`, `,"finish_reason":`
	if h.shape == shapeChat {
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
	return &eventWriter{head: b, tail: []byte(after)}
}

// chunk gives the event of one chunk; valid until the next call.
func (w *eventWriter) chunk(c engineapi.Chunk) []byte {
	b := append(w.event[:0], w.head...)
	b = appendString(b, c.Text)
	b = append(b, w.tail...)
	if c.Finish == engineapi.FinishNone {
		b = append(b, "null"...)
	} else {
		b = appendString(b, string(c.Finish))
	}
	b = append(b, "}]}"+eventEnd...)
	w.event = b
	return b
}

// appendString appends s as a JSON string. Plain ASCII, which most tokens
// are, is copied; the rest goes through encoding/json.
func appendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if !plain(s[i]) {
			return appendEncoded(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func plain(c byte) bool {
	if c < ' ' || c >= 0x7f {
		return false
	}
	switch c {
	case '"', '\\', '<', '>', '&':
		return false
	}
	return true
}

func appendEncoded(b []byte, s string) []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // a string always encodes
	}
	return append(b, encoded...)
}
