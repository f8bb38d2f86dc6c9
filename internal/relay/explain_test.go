package relay

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/allocation"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// An on-call engineer has the ID of a failed request and the log. It must show what was
// decided, by which figures and how old they were, and what the result was.
func TestLogExplainsAFailure(t *testing.T) {
	for name, test := range map[string]struct {
		fixture func() *fixture
		want    []string
	}{
		"refused for want of memory": {
			func() *fixture { return newFixture(stream).withModel() },
			[]string{`"relay: No room."`, `"relay: Refused."`, "verdict=not-run", `reason="no endpoint has room for it in time"`, "cause=no-room", "sends=0"},
		},
		"refused for want of a place, by the home": {
			func() *fixture {
				fx := newFixture(stream).withModel()
				fx.router.options.Allocator = fullHome{}
				return fx
			},
			[]string{`"relay: No place came free."`, "home=10.1.0.1:7000", "among=9", "most_free=5100", `"relay: Waits no longer."`, "why=too-long", `"relay: Refused."`, "cause=no-room", "verdict=not-run", "sends=0"},
		},
		"lost after it was sent": {
			func() *fixture { return newFixture(atMostOnce, fails(true)) },
			[]string{`"relay: Chosen."`, "among=3", "age_ms=-1", `"relay: Refused."`, "verdict=unknown", "reason=lost", "runs=1", "err=cut"},
		},
		"broken off in the middle": {
			func() *fixture {
				return newFixture(stream, returns(func() *Reply { return reply(200, errCut, event("1")+event("2")) }))
			},
			[]string{`"relay: Chosen."`, `"relay: Broken off."`, "after=2", "reason=lost"},
		},
		"sent twice": {
			func() *fixture {
				return newFixture(idempotent, fails(true), returns(func() *Reply { return ok("good") }))
			},
			[]string{`"relay: Retrying."`, "cause=lost", "budget_left=", `"relay: Answered."`, "sends=2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lines bytes.Buffer
				logger, err := logging.New(&lines, logging.LevelInfo)
				assert.NilError(t, err)
				fx := test.fixture()
				fx.router.options.Part = logging.NewPart(logger, "relay")
				x := newExchange()
				if fx.view.Table.Service("s").Engine != nil {
					x = newModelExchange()
					for range 10000 {
						fx.endpoints.reserveErrors = append(fx.endpoints.reserveErrors, ErrNoMemory)
					}
				}
				fx.serve(t, x)
				for _, part := range test.want {
					assert.Check(t, strings.Contains(lines.String(), part), "no %s in\n%s", part, lines.String())
				}
				for _, line := range strings.Split(strings.TrimSpace(lines.String()), "\n") {
					assert.Check(t, strings.Contains(line, "request=x1"), line)
				}
			})
		})
	}
}

// A request that was answered at once and in time leaves one line.
func TestGoodAnswerLeavesOneLine(t *testing.T) {
	var lines bytes.Buffer
	logger, err := logging.New(&lines, logging.LevelInfo)
	assert.NilError(t, err)
	fx := newFixture(idempotent, returns(func() *Reply { return ok("good") }))
	fx.router.options.Part = logging.NewPart(logger, "relay")
	fx.serve(t, newExchange())
	assert.Equal(t, strings.Count(lines.String(), "\n"), 1)
}

// fullHome has no place for any request.
type fullHome struct{}

func (fullHome) Allot(ctx context.Context, _ string, _ allocation.ReservationRequest, wait time.Duration) (allocation.Reservation, error) {
	sleep.For(ctx, wait)
	return allocation.Reservation{Home: "10.1.0.1:7000", FreeCapacity: allocation.FreeCapacity{Candidates: 9, MaxFreeTokens: 5100}}, nil
}

func (fullHome) Settle(context.Context, allocation.Reservation, allocation.Outcome) error { return nil }

func (fullHome) Read(context.Context, allocation.Reservation, allocation.Outcome, time.Duration, time.Duration) error {
	return nil
}
