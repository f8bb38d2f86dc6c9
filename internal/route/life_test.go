package route_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// inWorld runs a test in a bubble with its own clock.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newWorld()) })
}

// runInWorld is inWorld as a subtest.
func runInWorld(t *testing.T, name string, test func(t *testing.T, w *world)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { inWorld(t, test) })
}

func TestModelWhole(t *testing.T) {
	plans := map[string]schedule.StartPlan{
		"reserve first": {ReserveFirst: true},
		"optimistic":    {},
		"delayed":       {Delay: 50 * time.Millisecond, Lead: 10 * time.Millisecond},
	}
	for name, plan := range plans {
		runInWorld(t, name, func(t *testing.T, w *world) {
			w.plan = plan
			a := served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			assert.Equal(t, a.OutputTokens, 10)
			assert.Equal(t, a.Finish, engineapi.FinishLength)
			assert.Equal(t, w.releases[0].Reason, pb.ReleaseReason_RELEASE_REASON_COMPLETED)
			w.assertFree(t)
		})
	}
}

// A caller hangs up while its request waits for a slot, is prefilled, moves or
// decodes. Its slot and memory would stay occupied until the engine's own
// limit, and at peak twenty of those fill a decode engine. The caller's end
// must free each hold at once.
func TestCallerGoneFreesAll(t *testing.T) {
	stages := []struct {
		op string
		at fleet.EndpointID
	}{{"take", "d1"}, {"take", "p1"}, {"prefill", "p1"}, {"import", "d1"}, {"decode", "d1"}}
	for _, stage := range stages {
		for _, key := range []string{"", "bale-7"} {
			runInWorld(t, stage.op+" "+string(stage.at)+" key="+key, func(t *testing.T, w *world) {
				w.set(stage.op, stage.at, 1, fault{stall: true, after: 3})
				r := w.router(route.Bounds{})
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					time.Sleep(100 * time.Millisecond)
					cancel()
				}()
				began := time.Now()
				request := modelRequest()
				request.Key = key
				a := r.Model(ctx, request, &sink{})
				synctest.Wait()
				assert.Assert(t, a.Failure != nil)
				assert.Equal(t, time.Since(began), 100*time.Millisecond)
				assert.Equal(t, r.Running(), 0)
				w.assertFree(t)
			})
		}
	}
}

// A decode engine is killed in the middle of an answer. The caller would see
// the stream stop, or the text repeat from the start. The answer goes on at
// the next token at another engine; the quarantine learns of the crash.
func TestDecodeKilledResumes(t *testing.T) {
	for after := range 10 {
		inWorld(t, func(t *testing.T, w *world) {
			w.set("decode", "d1", 1, fault{broken: true, after: after})
			served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			assert.Equal(t, w.sent("decode d1"), 1)
			assert.Equal(t, w.sent("decode d2"), 1)
			assert.DeepEqual(t, w.ends, []guardEnd{{crashed: true}, {completed: true}}, allowGuardEnd)
			assert.Equal(t, w.releaseOf("d1"), pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED)
			w.assertFree(t)
		})
	}
}

// A prefill engine is killed while it computes, or the KV cache is gone when
// the decode engine fetches it. The request must run again from another
// prefill engine, and never at the one that just failed it.
func TestPrefillLostRetriesElsewhere(t *testing.T) {
	faults := map[string]struct {
		op string
		at fleet.EndpointID
		f  fault
	}{
		"prefill killed":  {"prefill", "p1", fault{broken: true}},
		"no connection":   {"prefill", "p1", fault{unsent: true}},
		"prefill refuses": {"prefill", "p1", fault{code: engineapi.CodeLeaving}},
		"cache expired":   {"import", "d1", fault{code: engineapi.CodeGone}},
		"source is gone":  {"import", "d1", fault{code: engineapi.CodeTransfer}},
	}
	for name, tc := range faults {
		for _, plan := range []schedule.StartPlan{{ReserveFirst: true}, {}} {
			runInWorld(t, name, func(t *testing.T, w *world) {
				w.plan = plan
				w.set(tc.op, tc.at, 1, tc.f)
				served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
				assert.Assert(t, w.sent("prefill p1") <= 1)
				assert.Equal(t, w.sent("prefill p2"), 1)
				synctest.Wait()
				w.assertFree(t)
			})
		}
	}
}

// The link between two engines stands still in the middle of a transfer. The
// decode slot and the prefill memory would stay occupied until the caller's
// patience of 20 s ends. The transfer is given up on after its bound of
// 300 ms; the cache, still alive, goes to another decode engine.
func TestTransferStalls(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.set("import", "d1", 1, fault{stall: true})
		began := time.Now()
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		assert.Equal(t, time.Since(began), 311*time.Millisecond)
		assert.Equal(t, w.sent("prefill"), 1)
		w.assertFree(t)
	})
}

// An engine mixes up two callers' answers, loses a chunk, or repeats one. One
// caller would read another's note, or a note with a hole. Nothing foreign is
// passed on; a gap is filled from another engine.
func TestCrossedChunks(t *testing.T) {
	bends := map[string]func(engineapi.Chunk) engineapi.Chunk{
		"other attempt":     func(c engineapi.Chunk) engineapi.Chunk { c.Attempt, c.Text = "other", "secret"; return c },
		"other incarnation": func(c engineapi.Chunk) engineapi.Chunk { c.Incarnation, c.Text = 6, "secret"; return c },
		"gap":               func(c engineapi.Chunk) engineapi.Chunk { c.Offset += 2; c.Text = token(c.Offset); return c },
		"overlap": func(c engineapi.Chunk) engineapi.Chunk {
			c.Offset--
			c.Tokens++
			c.Text = token(c.Offset) + token(c.Offset+1)
			return c
		},
		"negative": func(c engineapi.Chunk) engineapi.Chunk { c.Tokens = -1; return c },
	}
	for name, bend := range bends {
		runInWorld(t, name, func(t *testing.T, w *world) {
			w.set("decode", "d1", 1, fault{after: 4, bend: bend})
			served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			w.assertFree(t)
		})
	}
}

// Each way of being refused answers at once: a caller that is held back until
// near its deadline can't go elsewhere.
func TestRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		prepare func(w *world)
		code    callerapi.Code
		after   time.Duration
	}{
		"not current": {func(w *world) { w.freeze(true) }, callerapi.CodeNotCurrent, route.DefaultRetryAfter},
		"entry zone":  {func(w *world) { w.permit("barasat") }, callerapi.CodeNoZone, 0},
		"overload": {func(w *world) {
			w.denied = &admission.Decision{Code: callerapi.CodeOverloaded, RetryAfter: 1300 * time.Millisecond}
		}, callerapi.CodeOverloaded, 1300 * time.Millisecond},
		"oversized": {func(w *world) {
			w.denied = &admission.Decision{Code: callerapi.CodeTooLarge, Final: true}
		}, callerapi.CodeTooLarge, 0},
		"no slot": {func(w *world) {
			w.refuse = endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL, RetryAfter: 700 * time.Millisecond}
		}, callerapi.CodeOverloaded, 700 * time.Millisecond},
		"quarantined": {func(w *world) { w.verdict = pb.RunVerdict_RUN_VERDICT_QUARANTINED }, callerapi.CodeQuarantined, 0},
	}
	for name, tc := range cases {
		runInWorld(t, name, func(t *testing.T, w *world) {
			tc.prepare(w)
			began := time.Now()
			failure := failed(t, w.router(route.Bounds{}), modelRequest())
			assert.Equal(t, failure.Code, tc.code)
			assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
			assert.Equal(t, failure.RetryAfter, tc.after)
			assert.Equal(t, time.Since(began), time.Duration(0))
			assert.Equal(t, len(w.sends), 0)
			assert.Equal(t, len(w.releases), 0)
			w.assertFree(t)
		})
	}
}

// Each engine that gets the request dies. The caller gets a clear failure with
// when to come back after the bounded tries, not silence until its deadline.
func TestGivenUpAtOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.setBoth("decode", fault{broken: true, after: 2})
		s := &sink{}
		a := w.router(route.Bounds{}).Model(t.Context(), modelRequest(), s)
		assert.Assert(t, a.Failure != nil)
		assert.Equal(t, a.Failure.Outcome, callerapi.OutcomeFailed)
		assert.Assert(t, a.Failure.RetryAfter > 0)
		assert.Equal(t, s.got(), tokens(4))
		w.assertFree(t)
	})
}

// The engine stands still in the middle of a stream without closing it. The
// caller would wait for ever: after 5 s the answer goes on elsewhere, and the
// engine isn't taken for dead.
func TestDecodeStandsStill(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.set("decode", "d1", 1, fault{stall: true, after: 4})
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		assert.DeepEqual(t, w.ends, []guardEnd{{}, {completed: true}}, allowGuardEnd)
		w.assertFree(t)
	})
}

// The first token doesn't come within the caller's patience of 20 s: it gets
// its final answer then, not after the engine's own limits.
func TestPatienceEnds(t *testing.T) {
	for _, stage := range []string{"prefill p1", "decode d1"} {
		inWorld(t, func(t *testing.T, w *world) {
			op, at, _ := strings.Cut(stage, " ")
			w.set(op, fleet.EndpointID(at), 9, fault{stall: true})
			began := time.Now()
			failure := failed(t, w.router(route.Bounds{}), modelRequest())
			assert.Equal(t, failure.Code, callerapi.CodeDeadline)
			assert.Equal(t, failure.Outcome, callerapi.OutcomeFailed)
			assert.Equal(t, time.Since(began), 20*time.Second)
			w.assertFree(t)
		})
	}
}

// A daemon is stopped for good while a request runs and callers still keep its
// address. Cut off, the request fails, and the next ones meet a closed door.
func TestDrain(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		ends := make(chan route.Answer, 1)
		long := modelRequest()
		long.MaxTokens = 4000
		whole := &sink{}
		go func() {
			time.Sleep(3 * time.Second)
			ends <- r.Model(t.Context(), long, whole)
		}()
		began := time.Now()
		done := make(chan error, 1)
		go func() { done <- r.Drain(t.Context()) }()
		time.Sleep(4900 * time.Millisecond)
		assert.Assert(t, r.Draining())
		served(t, r, modelRequest(), &sink{})
		time.Sleep(200 * time.Millisecond)
		late := r.Model(t.Context(), modelRequest(), &sink{})
		assert.Equal(t, late.Failure.Code, callerapi.CodeDraining)
		assert.Equal(t, late.Failure.Outcome, callerapi.OutcomeNotRun)
		assert.NilError(t, <-done)
		assert.Equal(t, whole.got(), tokens(4000))
		assert.Assert(t, (<-ends).Failure == nil)
		assert.Assert(t, time.Since(began) >= 7*time.Second)
	})
}

// A daemon has stopped for good and given up its lease; a caller that was slow to come
// finds it still there. It must be told that the daemon is leaving and that its request
// has not run, not that a lease was lost.
func TestSlowCallerOfADaemonThatHasLeft(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		assert.NilError(t, r.Drain(t.Context()))
		w.freeze(true)
		late := r.Model(t.Context(), modelRequest(), &sink{})
		assert.Equal(t, late.Failure.Code, callerapi.CodeDraining)
		assert.Equal(t, late.Failure.Outcome, callerapi.OutcomeNotRun)
		assert.Equal(t, r.Refuses(fleet.Team("none"), "").Code, callerapi.CodeDraining)
	})
}

// The decode slot was asked for while prefill ran; the caller hangs up before
// the home answers, and the grant comes afterwards. Nobody would use it, and
// the slot would stand empty until the grant's life ends.
func TestEarlyGrantComesTooLate(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.plan = schedule.StartPlan{}
		w.takeLag = 200 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		w.afterSend = func(string) { cancel() }
		a := w.router(route.Bounds{}).Model(ctx, modelRequest(), &sink{})
		assert.Assert(t, a.Failure != nil)
		time.Sleep(time.Second)
		w.assertFree(t)
	})
}

// A caller takes 8 s to read one chunk. The engine, which waits for no one,
// isn't at fault: it must not be given up on for standing still.
func TestSlowCallerIsNoStall(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		s := &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 3 {
				time.Sleep(8 * time.Second)
			}
		}}
		served(t, w.router(route.Bounds{}), modelRequest(), s)
		assert.Equal(t, w.sent("decode"), 1)
	})
}

// A full decode engine dies with twenty answers in progress, more than the
// retry budget has saved up. Some would go on and the rest fail for no fault of
// their own: each has one free retry after a death. The second costs budget.
func TestDeathOfAFullEngine(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.noBudget = true
		w.set("decode", "d1", 20, fault{broken: true, after: 5})
		r := w.router(route.Bounds{})
		ends := make(chan route.Answer, 20)
		for range 20 {
			go func() { ends <- r.Model(t.Context(), modelRequest(), &sink{}) }()
		}
		for range 20 {
			a := <-ends
			assert.Assert(t, a.Failure == nil, "%v", a.Failure)
		}
		w.set("decode", "d1", 1, fault{broken: true, after: 5})
		w.set("decode", "d2", 1, fault{broken: true, after: 2})
		failure := failed(t, r, modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeEngineFailed)
		w.assertFree(t)
	})
}

// Each decode engine has failed the request, though there are some: this isn't
// a place without endpoints, and the caller is told so.
func TestExhausted(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.setBoth("decode", fault{broken: true})
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeEngineFailed)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeFailed)
	})
}
