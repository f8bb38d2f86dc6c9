package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Answer is the result of a chat request.
type Answer struct {
	RequestID string            `json:"request_id"`
	Outcome   callerapi.Outcome `json:"outcome"`
	Text      string            `json:"text"`
}

// Chat sends a chat request and returns its complete answer. If the answer is streamed,
// each piece of text is also written to out as it arrives. Chat returns an error if the
// answer is truncated or ends with an error.
func (c *Client) Chat(ctx context.Context, r callerapi.ChatRequest, header http.Header, out io.Writer) (Answer, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Answer{}, trace.Wrap(err)
	}
	response, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", header, bytes.NewReader(body))
	if err != nil {
		return Answer{}, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{
		RequestID: response.Header.Get(callerapi.HeaderRequestID),
		Outcome:   callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome)),
	}
	if response.StatusCode != http.StatusOK {
		return answer, trace.Wrap(readRefusal(response))
	}
	if r.Stream {
		answer.Text, err = readStream(response.Body, out)
		if err == nil {
			answer.Outcome = callerapi.OutcomeCompleted
		}
		return answer, trace.Wrap(err)
	}
	answer.Text, err = readReply(response.Body)
	return answer, trace.Wrap(err)
}

func readReply(body io.Reader) (string, error) {
	var reply callerapi.CompletionReply
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&reply); err != nil {
		return "", trace.Wrap(err)
	}
	if len(reply.Choices) != 1 || reply.Choices[0].Message == nil {
		return "", trace.BadParameter("the answer has no message")
	}
	return reply.Choices[0].Message.Content, nil
}

const dataPrefix = "data: "

func readStream(body io.Reader, out io.Writer) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(io.LimitReader(body, maxReplyBytes))
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), dataPrefix)
		if !isData {
			continue
		}
		if data == callerapi.StreamDone {
			return text.String(), nil
		}
		piece, err := eventText(data)
		if err != nil {
			return text.String(), trace.Wrap(err)
		}
		text.WriteString(piece)
		if _, err := io.WriteString(out, piece); err != nil {
			return text.String(), trace.Wrap(err)
		}
	}
	if err := lines.Err(); err != nil {
		return text.String(), trace.Wrap(err)
	}
	return text.String(), trace.ConnectionProblem(io.ErrUnexpectedEOF, "the stream ended before it was complete")
}

// streamEvent is either a piece of the answer or the error that ends the stream.
type streamEvent struct {
	callerapi.CompletionReply
	Error *callerapi.Error `json:"error"`
}

// eventText returns the text of one event's data, or the error that the event reports.
func eventText(data string) (string, error) {
	var e streamEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return "", trace.Wrap(err)
	}
	if e.Error != nil {
		return "", &Refusal{Status: http.StatusOK, Detail: *e.Error}
	}
	if len(e.Choices) != 1 || e.Choices[0].Delta == nil {
		return "", nil
	}
	return e.Choices[0].Delta.Content, nil
}
