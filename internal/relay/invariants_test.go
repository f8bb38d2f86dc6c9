package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// randomFailure returns an answer that fails after a while, and whether the request may
// have run.
func randomFailure(random *rand.Rand) (a answer, ran bool) {
	wait := time.Duration(random.IntN(400)) * time.Millisecond
	what := random.IntN(5)
	return func(*Call) (*Reply, error) {
		time.Sleep(wait)
		switch what {
		case 0:
			return nil, &SendError{Cause: errCut}
		case 1:
			return notRun(), nil
		case 2:
			r := notRun()
			r.WrongIncarnation = true
			return r, nil
		case 3:
			return reply(http.StatusInternalServerError, io.EOF), nil
		}
		return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET}
	}, what > 2
}

// Guards against a request that runs on more endpoints than its route's MaxAttempts, and
// against one that is sent with more time than its caller has, whatever the outcome of
// each attempt.
func TestAttemptsAndDeadlineAreKept(t *testing.T) {
	const seeds, patience, slack = 300, 1500 * time.Millisecond, time.Millisecond
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var answers []answer
			var runs []bool
			for range 12 {
				a, ran := randomFailure(random)
				answers, runs = append(answers, a), append(runs, ran)
			}
			kind := []routetable.Kind{routetable.KindIdempotent, routetable.KindStream, routetable.KindAtMostOnce}[random.IntN(3)]
			fx := newFixture(kind, answers...)
			if kind == routetable.KindStream {
				fx.withModel()
			}
			fx.route.MaxAttempts = 1 + random.IntN(3)
			fx.route.Resumable = random.IntN(2) == 0
			x := newExchange()
			x.CallerTimeout = patience
			if kind == routetable.KindStream {
				x.Prompt = newModelExchange().Prompt
			}
			ends := timedEndpoints{fakeEndpoints: fx.endpoints}
			fx.router.options.Endpoints = &ends
			_, _ = fx.serve(t, x)
			synctest.Wait()
			ran := 0
			for n, c := range fx.endpoints.calls {
				if runs[n] && !c.Prefill {
					ran++
				}
				assert.Assert(t, c.TimeLeft > 0 && !ends.ends[n].After(x.Received.Add(patience+slack)), "seed %d: send %d may go on for %s", seed, n, c.TimeLeft)
			}
			assert.Assert(t, ran <= fx.route.MaxAttempts, "seed %d: %d runs, %d attempts", seed, ran, fx.route.MaxAttempts)
			assert.Assert(t, fx.route.Repeatable() || ran <= 1, "seed %d: %d runs of what may run once", seed, ran)
		})
	}
}

// timedEndpoints records by when each call has to end.
type timedEndpoints struct {
	*fakeEndpoints
	ends []time.Time
}

func (e *timedEndpoints) Send(ctx context.Context, c *Call) (*Reply, error) {
	e.ends = append(e.ends, time.Now().Add(c.TimeLeft))
	return e.fakeEndpoints.Send(ctx, c)
}
