package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// whole reads an answer to its end before a byte of it is passed on, so that
// one that is cut off can be asked for elsewhere. A long one is passed on as
// it comes.
func (l *life) whole(reply *Reply) attempt {
	body, err := io.ReadAll(io.LimitReader(reply.Body, wholeBody+1))
	if err != nil {
		return attempt{outcome: dispatch.OutcomeLost, reply: reply, err: err}
	}
	if len(body) > wholeBody {
		return l.long(reply, body)
	}
	a := attempt{outcome: dispatch.OutcomeServed, reply: reply, body: body}
	if reply.Status >= http.StatusInternalServerError {
		a.outcome = dispatch.OutcomeFailed
		return a
	}
	l.deliver(a)
	return a
}

// deliver passes a whole answer on.
func (l *life) deliver(a attempt) {
	l.begin(a.reply, int64(len(a.body)))
	if len(a.body) > 0 {
		l.write(a.body)
	}
}

// begin passes the head of an answer on.
func (l *life) begin(reply *Reply, length int64) {
	l.begun, l.progress.firstAt = true, time.Now()
	l.caller.Begin(reply.Status, reply.Header, length)
}

// write passes a part on. A caller that can't be written to has left, which
// its context tells too.
func (l *life) write(p []byte) bool {
	l.progress.wrote(time.Now())
	return l.caller.Write(p) == nil
}

// long passes on an answer that is too long to be held.
func (l *life) long(reply *Reply, first []byte) attempt {
	l.begin(reply, reply.Length)
	buffer := first
	for {
		if !l.write(buffer) {
			return attempt{outcome: dispatch.OutcomeGivenUp, reply: reply}
		}
		part := make([]byte, copyBuffer)
		n, err := reply.Body.Read(part)
		buffer = part[:n]
		if errors.Is(err, io.EOF) {
			l.write(buffer)
			return attempt{outcome: dispatch.OutcomeServed, reply: reply}
		}
		if err != nil {
			return attempt{outcome: dispatch.OutcomeLost, reply: reply, err: err}
		}
	}
}
