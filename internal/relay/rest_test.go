package relay

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
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

// keptRequest is a home that keeps the latest request.
type keptRequest struct {
	fullHome
	request allocation.ReservationRequest
}

func (k *keptRequest) Allot(ctx context.Context, service string, request allocation.ReservationRequest, wait time.Duration) (allocation.Reservation, error) {
	k.request = request
	return k.fullHome.Allot(ctx, service, request, wait)
}

// Guards against a caller that gets ahead of others since it names a stream that it doesn't have.
func TestOnlyRecordedStreamsAreNamedToTheHome(t *testing.T) {
	sole := "v1"
	for name, row := range map[string]struct {
		recorded, resumes, after string
		named                    bool
	}{
		"its record names it":          {recorded: "x0", resumes: "x0", after: "2", named: true},
		"another stream":               {recorded: "x0", resumes: "x9", after: "2"},
		"no stream is named":           {recorded: "x0", after: "2"},
		"no event of it is at the end": {recorded: "x0", resumes: "x0"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(stream).withModel()
				fx.route.Resumable = true
				fx.origins.sole = &sole
				for _, e := range fx.view.Endpoints["s"] {
					e.Software = sole
				}
				home := &keptRequest{}
				fx.router.options.Allocator = home
				fx.began(row.recorded, streamorigin.Origin{Service: "s", Software: sole})
				x := newModelExchange()
				x.LastEventID, x.Resumes = row.after, row.resumes
				fx.serve(t, x)
				assert.Equal(t, home.request.Resumes, row.named)
				assert.Assert(t, home.request.Patience > 0)
			})
		})
	}
}
