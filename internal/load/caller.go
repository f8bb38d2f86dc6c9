package load

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// caller sends a job, and again as its stream says, until it has an answer.
type caller struct {
	sender *sender
	books  []*addressBook
	direct []string
	engine *directEngines // nil: no direct model streams
}

// run gives the last answer of the job.
func (c *caller) run(ctx context.Context, j *job) answer {
	var a answer
	noAnswers, refusals := 0, 0
	for {
		a = c.once(ctx, j)
		a.repeats = noAnswers + refusals
		wait, again := c.again(j, a, &noAnswers, &refusals)
		if !again || !sleep.For(ctx, wait) {
			return a
		}
	}
}

func (c *caller) once(ctx context.Context, j *job) answer {
	if j.stream.Direct && j.stream.Model != "" {
		return c.engine.send(ctx, j, c.sender.expect)
	}
	if j.stream.Direct {
		return c.sender.send(ctx, j, c.direct[j.number%len(c.direct)])
	}
	book := c.books[j.caller]
	address, err := book.use(ctx, j.stream.Key)
	if err != nil {
		return answer{verdict: VerdictLost, detail: "no address"}
	}
	a := c.sender.send(ctx, j, address)
	if a.verdict == VerdictLost || a.verdict == VerdictCut {
		book.failed(j.stream.Key, address)
	}
	return a
}

// again decides whether the job is sent once more, and after how long. A
// request that isn't idempotent and has no key is never repeated unless the
// system said that it hadn't run.
func (c *caller) again(j *job, a answer, noAnswers, refusals *int) (time.Duration, bool) {
	left := time.Until(j.intended.Add(j.stream.Patience))
	switch a.verdict {
	case VerdictLost, VerdictCut, VerdictUnknown:
		if *noAnswers >= j.stream.Resend.NoAnswer || (j.stream.NotIdempotent && j.key == "") {
			return 0, false
		}
		*noAnswers++
		wait := max(a.retryAfter, j.stream.Resend.Wait)
		return wait, wait < left
	case VerdictRefused:
		if a.retryAfter <= 0 || *refusals >= j.stream.Resend.Refused {
			return 0, false
		}
		*refusals++
		return a.retryAfter, a.retryAfter < left
	}
	return 0, false
}
