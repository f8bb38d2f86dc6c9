package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
)

// forwardWhole reads an answer to its end before it forwards any of it, so that one that
// is cut off can be requested elsewhere. A long answer is forwarded as it arrives, and so is
// one that other reads leave no memory for.
func (ex *activeExchange) forwardWhole(from *dispatch.Endpoint, reply *Reply) attemptResult {
	ex.bufferedAnswer.Release()
	ex.bufferedAnswer = ex.router.options.Reads.Hold(from.ID, readlimit.Body)
	body, err := ex.bufferedAnswer.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes+1), 0)
	var exceeded *readlimit.Exceeded
	switch {
	case errors.As(err, &exceeded) && exceeded.Memory:
		return ex.forwardLong(reply, body)
	case err != nil:
		return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: err}
	case len(body) > maxBufferedBytes:
		return ex.forwardLong(reply, body)
	}
	a := attemptResult{outcome: dispatch.OutcomeServed, reply: reply, body: body}
	if reply.Status >= http.StatusInternalServerError {
		a.outcome = dispatch.OutcomeFailed
		return a
	}
	ex.forwardBuffered(a)
	return a
}

// forwardBuffered forwards an answer that was received whole.
func (ex *activeExchange) forwardBuffered(a attemptResult) {
	ex.forwardHead(a.reply, int64(len(a.body)))
	if len(a.body) > 0 {
		ex.forwardPart(a.body)
	}
}

// forwardHead forwards the head of an answer.
func (ex *activeExchange) forwardHead(reply *Reply, length int64) {
	ex.unanswered.begin()
	ex.headSent, ex.progress.firstAt = true, time.Now()
	ex.caller.Begin(reply.Status, reply.Header, length)
}

// forwardPart forwards a part of the body and reports whether that succeeded. A failed
// write means that the caller has left, which also ends the context of the exchange.
func (ex *activeExchange) forwardPart(p []byte) bool {
	ex.progress.recordWrite(time.Now())
	return ex.caller.Write(p) == nil
}

// forwardLong forwards an answer that is too long to be buffered.
func (ex *activeExchange) forwardLong(reply *Reply, first []byte) attemptResult {
	ex.forwardHead(reply, reply.Length)
	buffer := first
	for {
		if !ex.forwardPart(buffer) {
			return attemptResult{outcome: dispatch.OutcomeCanceled, reply: reply}
		}
		ex.bufferedAnswer.Release()
		part := make([]byte, readBufferBytes)
		n, err := reply.Body.Read(part)
		buffer = part[:n]
		if errors.Is(err, io.EOF) {
			ex.forwardPart(buffer)
			return attemptResult{outcome: dispatch.OutcomeServed, reply: reply}
		}
		if err != nil {
			return attemptResult{outcome: dispatch.OutcomeLost, reply: reply, err: err}
		}
	}
}
