package entry

import (
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// replyFields are the fields that all events of one answer share.
type replyFields struct {
	format  completionFormat
	id      string
	created int64 // Unix time in seconds
	model   string
}

const assistant = "assistant"

// completionReply returns the body of an answer that isn't streamed.
func (h replyFields) completionReply(text string, a route.ModelResult) callerapi.CompletionReply {
	finish := string(a.Finish)
	choice := callerapi.Choice{FinishReason: &finish}
	object := "text_completion"
	if h.format == formatChat {
		choice.Message = &callerapi.Message{Role: assistant, Content: text}
		object = "chat.completion"
	} else {
		choice.Text = text
	}
	return callerapi.CompletionReply{
		ID: h.id, Object: object, Created: h.created, Model: h.model,
		Choices: []callerapi.Choice{choice},
		Usage:   usage(a),
	}
}

func usage(a route.ModelResult) *callerapi.Usage {
	return &callerapi.Usage{
		PromptTokens:     a.PromptTokens,
		CompletionTokens: a.OutputTokens,
		TotalTokens:      a.PromptTokens + a.OutputTokens,
	}
}

// bufferSink collects the text of an answer that isn't streamed.
type bufferSink struct{ text strings.Builder }

// WriteChunk implements route.Sink.
func (s *bufferSink) WriteChunk(c engineapi.Chunk) error {
	s.text.WriteString(c.Text)
	return nil
}
