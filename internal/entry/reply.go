package entry

import (
	"strings"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// replyHead is what each event of one answer repeats.
type replyHead struct {
	shape   shape
	id      string
	created int64 // unix s
	model   string
}

const assistant = "assistant"

// whole makes the one JSON answer.
func (h replyHead) whole(text string, a route.ModelResult) callerapi.CompletionReply {
	finish := string(a.Finish)
	choice := callerapi.Choice{FinishReason: &finish}
	object := "text_completion"
	if h.shape == shapeChat {
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

// wholeSink gathers an answer that goes out in one piece.
type wholeSink struct{ text strings.Builder }

// WriteChunk implements route.Sink.
func (s *wholeSink) WriteChunk(c engineapi.Chunk) error {
	s.text.WriteString(c.Text)
	return nil
}
