package load

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// caller sends a job and repeats it as its stream specifies until it gets an answer.
type caller struct {
	sender        *sender
	addressCaches []*addressCache
	direct        []string
	engines       *directEngines // nil: no direct model streams
}

// run sends the job with its repeats and returns the last result.
func (c *caller) run(ctx context.Context, j *job) requestResult {
	var a requestResult
	noAnswers, refusals := 0, 0
	for {
		a = c.sendOnce(ctx, j)
		a.repeats = noAnswers + refusals
		wait, repeat := c.shouldRepeat(j, a, &noAnswers, &refusals)
		if !repeat || !sleep.For(ctx, wait) {
			return a
		}
	}
}

func (c *caller) sendOnce(ctx context.Context, j *job) requestResult {
	if j.stream.Direct && j.stream.Model != "" {
		return c.engines.send(ctx, j, c.sender.expect)
	}
	if j.stream.Direct {
		return c.sender.send(ctx, j, c.direct[j.number%len(c.direct)])
	}
	cache := c.addressCaches[j.caller]
	address, err := cache.address(ctx, j.stream.Key)
	if err != nil {
		return requestResult{verdict: VerdictLost, detail: "no address"}
	}
	a := c.sender.send(ctx, j, address)
	if a.verdict == VerdictLost || a.verdict == VerdictCut {
		cache.markFailed(j.stream.Key, address)
	}
	return a
}

// shouldRepeat reports whether the job is sent again, and after what delay. A
// request that isn't idempotent and has no key is never repeated unless the
// system said that it hadn't run.
func (c *caller) shouldRepeat(j *job, a requestResult, noAnswers, refusals *int) (time.Duration, bool) {
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
