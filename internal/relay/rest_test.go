package relay

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/streamorigin"
)

// slowEvents is a stream of numbered events with a pause before each.
type slowEvents struct {
	next, last int
	gap        time.Duration
}

func (s *slowEvents) Read(p []byte) (int, error) {
	if s.next > s.last {
		return 0, io.EOF
	}
	time.Sleep(s.gap)
	s.next++
	return copy(p, event(fmt.Sprint(s.next-1))), nil
}

func (*slowEvents) Close() {}

// Guards against a resumed stream that is refused for the length of its whole answer, though the
// rest would end in time.
func TestResumedStreamWaitsByTheRestOfItsAnswer(t *testing.T) {
	const gap, events = 50 * time.Millisecond, 100
	for name, row := range map[string]struct {
		has    int // events that the caller has
		served bool
	}{
		"a few are left":      {has: 80, served: true},
		"nearly all are left": {has: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				streams := func(from int) answer {
					return returns(func() *Reply {
						r := ok()
						r.Body = &slowEvents{next: from, last: events, gap: gap}
						return r
					})
				}
				fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), streams(1), streams(row.has+1)).withModel()
				fx.route.Resumable = true
				fx.began("x0", streamorigin.Origin{Service: "s"})
				whole := newModelExchange()
				whole.CallerTimeout = 9 * time.Second
				whole.Prompt.EstimatedOutput, whole.Prompt.MaxOutput = 1700, 1700
				_, refusal := fx.serve(t, whole)
				assert.Assert(t, refusal == nil)
				rest := newModelExchange()
				rest.Prompt = whole.Prompt
				rest.LastEventID, rest.Resumes, rest.CallerTimeout = fmt.Sprint(row.has), "x0", 2*time.Second
				_, refusal = fx.serve(t, rest)
				assert.Equal(t, refusal == nil, row.served, "%+v", refusal)
			})
		})
	}
}
