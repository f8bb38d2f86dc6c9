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

// withFakeFleet runs a test with its own clock and a new fakeFleet.
func withFakeFleet(t *testing.T, test func(t *testing.T, w *fakeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newFakeFleet()) })
}

// runWithFakeFleet is withFakeFleet as a subtest.
func runWithFakeFleet(t *testing.T, name string, test func(t *testing.T, w *fakeFleet)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { withFakeFleet(t, test) })
}

func TestModelWhole(t *testing.T) {
	plans := map[string]schedule.StartPlan{
		"reserve first": {ReserveFirst: true},
		"optimistic":    {},
		"delayed":       {Delay: 50 * time.Millisecond, LeadTime: 10 * time.Millisecond},
	}
	for name, plan := range plans {
		runWithFakeFleet(t, name, func(t *testing.T, w *fakeFleet) {
			w.plan = plan
			a := served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			assert.Equal(t, a.OutputTokens, 10)
			assert.Equal(t, a.Finish, engineapi.FinishLength)
			assert.Equal(t, w.releases[0].Reason, pb.ReleaseReason_RELEASE_REASON_COMPLETED)
			w.assertNothingHeld(t)
		})
	}
}

// A caller disconnects while its request waits for a slot, is prefilled, transferred
// or decoded. Each grant must be released at once; otherwise slot and memory stay
// occupied until the engine's own limit, and twenty such requests fill a decode engine.
func TestCallerGoneFreesAll(t *testing.T) {
	stages := []struct {
		op string
		at fleet.EndpointID
	}{{"take", "d1"}, {"take", "p1"}, {"prefill", "p1"}, {"import", "d1"}, {"decode", "d1"}}
	for _, stage := range stages {
		for _, key := range []string{"", "bale-7"} {
			runWithFakeFleet(t, stage.op+" "+string(stage.at)+" key="+key, func(t *testing.T, w *fakeFleet) {
				w.setFault(stage.op, stage.at, 1, fault{stall: true, after: 3})
				r := w.router(route.Bounds{})
				ctx, cancel := context.WithCancel(t.Context())
				go func() {
					time.Sleep(100 * time.Millisecond)
					cancel()
				}()
				began := time.Now()
				request := modelRequest()
				request.Key = key
				a := r.Complete(ctx, request, &sink{})
				synctest.Wait()
				assert.Assert(t, a.Failure != nil)
				assert.Equal(t, time.Since(began), 100*time.Millisecond)
				assert.Equal(t, r.RunningRequests(), 0)
				w.assertNothingHeld(t)
			})
		}
	}
}

// A decode engine is killed in the middle of an answer. The answer must continue with
// the next token at another engine, without a cut or a repeat from the start, and the
// quarantine guard must be told of the crash.
func TestDecodeKilledResumes(t *testing.T) {
	for after := range 10 {
		withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
			w.setFault("decode", "d1", 1, fault{broken: true, after: after})
			served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			assert.Equal(t, w.sent("decode d1"), 1)
			assert.Equal(t, w.sent("decode d2"), 1)
			assert.DeepEqual(t, w.ends, []guardEnd{{crashed: true}, {completed: true}}, allowGuardEnd)
			assert.Equal(t, w.releaseOf("d1"), pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED)
			w.assertNothingHeld(t)
		})
	}
}

// A prefill engine is killed while it computes, or the KV cache is gone when the decode
// engine fetches it. The request must be retried at another prefill engine, never at
// the one that just failed it.
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
			runWithFakeFleet(t, name, func(t *testing.T, w *fakeFleet) {
				w.plan = plan
				w.setFault(tc.op, tc.at, 1, tc.f)
				served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
				assert.Assert(t, w.sent("prefill p1") <= 1)
				assert.Equal(t, w.sent("prefill p2"), 1)
				synctest.Wait()
				w.assertNothingHeld(t)
			})
		}
	}
}

// The link between two engines stalls in the middle of a transfer. The transfer must
// end after its timeout of 300 ms and the cache, still alive, go to another decode
// engine. Otherwise the decode slot and the prefill memory stay occupied until the
// caller's patience of 20 s ends.
func TestTransferStalls(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setFault("import", "d1", 1, fault{stall: true})
		began := time.Now()
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		assert.Equal(t, time.Since(began), 311*time.Millisecond)
		assert.Equal(t, w.sent("prefill"), 1)
		w.assertNothingHeld(t)
	})
}

// An engine mixes up two callers' answers, loses a chunk or repeats one. Chunks of other
// attempts must not be passed on, and gaps must be filled from another engine.
func TestCrossedChunks(t *testing.T) {
	alterations := map[string]func(engineapi.Chunk) engineapi.Chunk{
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
	for name, alter := range alterations {
		runWithFakeFleet(t, name, func(t *testing.T, w *fakeFleet) {
			w.setFault("decode", "d1", 1, fault{after: 4, alter: alter})
			served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			w.assertNothingHeld(t)
		})
	}
}

// Every kind of refusal must be answered at once: a caller that is kept waiting until
// near its deadline can't try elsewhere.
func TestRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		prepare func(w *fakeFleet)
		code    callerapi.Code
		after   time.Duration
	}{
		"not current": {func(w *fakeFleet) { w.setStale(true) }, callerapi.CodeNotCurrent, route.DefaultRetryAfter},
		"entry zone":  {func(w *fakeFleet) { w.permit("barasat") }, callerapi.CodeNoPermittedZone, 0},
		"overload": {func(w *fakeFleet) {
			w.denied = &admission.Decision{Code: callerapi.CodeOverloaded, RetryAfter: 1300 * time.Millisecond}
		}, callerapi.CodeOverloaded, 1300 * time.Millisecond},
		"oversized": {func(w *fakeFleet) {
			w.denied = &admission.Decision{Code: callerapi.CodeTooLarge, Final: true}
		}, callerapi.CodeTooLarge, 0},
		"no slot": {func(w *fakeFleet) {
			w.refuse = endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL, RetryAfter: 700 * time.Millisecond}
		}, callerapi.CodeOverloaded, 700 * time.Millisecond},
		"quarantined": {func(w *fakeFleet) { w.verdict = pb.RunVerdict_RUN_VERDICT_QUARANTINED }, callerapi.CodeQuarantined, 0},
	}
	for name, tc := range cases {
		runWithFakeFleet(t, name, func(t *testing.T, w *fakeFleet) {
			tc.prepare(w)
			began := time.Now()
			failure := failed(t, w.router(route.Bounds{}), modelRequest())
			assert.Equal(t, failure.Code, tc.code)
			assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
			assert.Equal(t, failure.RetryAfter, tc.after)
			assert.Equal(t, time.Since(began), time.Duration(0))
			assert.Equal(t, len(w.sends), 0)
			assert.Equal(t, len(w.releases), 0)
			w.assertNothingHeld(t)
		})
	}
}

// Each engine that receives the request dies. The caller must get a failure with a retry
// delay once no attempt is left, instead of waiting until its deadline.
func TestGivenUpAtOnce(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setDecodeFaults("decode", fault{broken: true, after: 2})
		s := &sink{}
		a := w.router(route.Bounds{}).Complete(t.Context(), modelRequest(), s)
		assert.Assert(t, a.Failure != nil)
		assert.Equal(t, a.Failure.Outcome, callerapi.OutcomeFailed)
		assert.Assert(t, a.Failure.RetryAfter > 0)
		assert.Equal(t, s.got(), tokens(4))
		w.assertNothingHeld(t)
	})
}

// An engine stalls in the middle of a stream without closing it. After 5 s the answer
// must continue elsewhere, and the engine must not be reported as crashed.
func TestDecodeStandsStill(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setFault("decode", "d1", 1, fault{stall: true, after: 4})
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		assert.DeepEqual(t, w.ends, []guardEnd{{}, {completed: true}}, allowGuardEnd)
		w.assertNothingHeld(t)
	})
}

// The first token doesn't come within the caller's patience of 20 s. The caller must get
// its final answer then, not after the engine's own limits.
func TestPatienceEnds(t *testing.T) {
	for _, stage := range []string{"prefill p1", "decode d1"} {
		withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
			op, at, _ := strings.Cut(stage, " ")
			w.setFault(op, fleet.EndpointID(at), 9, fault{stall: true})
			began := time.Now()
			failure := failed(t, w.router(route.Bounds{}), modelRequest())
			assert.Equal(t, failure.Code, callerapi.CodeDeadline)
			assert.Equal(t, failure.Outcome, callerapi.OutcomeFailed)
			assert.Equal(t, time.Since(began), 20*time.Second)
			w.assertNothingHeld(t)
		})
	}
}

// A daemon is stopped as planned while a request runs and callers still keep its address.
// The request must complete, and new ones must be served until callers no longer keep
// the address.
func TestDrain(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		ends := make(chan route.ModelResult, 1)
		long := modelRequest()
		long.MaxTokens = 4000
		output := &sink{}
		go func() {
			time.Sleep(3 * time.Second)
			ends <- r.Complete(t.Context(), long, output)
		}()
		began := time.Now()
		done := make(chan error, 1)
		go func() { done <- r.Drain(t.Context()) }()
		time.Sleep(4900 * time.Millisecond)
		assert.Assert(t, r.Draining())
		served(t, r, modelRequest(), &sink{})
		time.Sleep(200 * time.Millisecond)
		late := r.Complete(t.Context(), modelRequest(), &sink{})
		assert.Equal(t, late.Failure.Code, callerapi.CodeDraining)
		assert.Equal(t, late.Failure.Outcome, callerapi.OutcomeNotRun)
		assert.NilError(t, <-done)
		assert.Equal(t, output.got(), tokens(4000))
		assert.Assert(t, (<-ends).Failure == nil)
		assert.Assert(t, time.Since(began) >= 7*time.Second)
	})
}

// A daemon has drained and given up its lease; a slow caller still reaches it. The caller
// must be told that the daemon is stopping and that the request hasn't run, not that the
// lease was lost.
func TestLateCallerOfStoppedDaemon(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		assert.NilError(t, r.Drain(t.Context()))
		w.setStale(true)
		late := r.Complete(t.Context(), modelRequest(), &sink{})
		assert.Equal(t, late.Failure.Code, callerapi.CodeDraining)
		assert.Equal(t, late.Failure.Outcome, callerapi.OutcomeNotRun)
		assert.Equal(t, r.EarlyRefusal(fleet.Team("none"), "").Code, callerapi.CodeDraining)
	})
}

// A decode grant is requested while prefill runs; the caller disconnects before the home
// answers, and the grant arrives afterwards. It must be released; otherwise the slot
// stays empty until the grant expires.
func TestEarlyGrantComesTooLate(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.plan = schedule.StartPlan{}
		w.takeLag = 200 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		w.afterSend = func(string) { cancel() }
		a := w.router(route.Bounds{}).Complete(ctx, modelRequest(), &sink{})
		assert.Assert(t, a.Failure != nil)
		time.Sleep(time.Second)
		w.assertNothingHeld(t)
	})
}

// A caller takes 8 s to read one chunk. The engine, which waits for no one, must not be
// given up on as stalled.
func TestSlowCallerIsNoStall(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		s := &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 3 {
				time.Sleep(8 * time.Second)
			}
		}}
		served(t, w.router(route.Bounds{}), modelRequest(), s)
		assert.Equal(t, w.sent("decode"), 1)
	})
}

// A full decode engine dies with twenty answers in progress, more than the retry budget
// allows. Each must continue, as the first retry after a crash is free; the second one
// takes from the budget. Otherwise some answers fail for no fault of their own.
func TestDeathOfAFullEngine(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.noBudget = true
		w.setFault("decode", "d1", 20, fault{broken: true, after: 5})
		r := w.router(route.Bounds{})
		ends := make(chan route.ModelResult, 20)
		for range 20 {
			go func() { ends <- r.Complete(t.Context(), modelRequest(), &sink{}) }()
		}
		for range 20 {
			a := <-ends
			assert.Assert(t, a.Failure == nil, "%v", a.Failure)
		}
		w.setFault("decode", "d1", 1, fault{broken: true, after: 5})
		w.setFault("decode", "d2", 1, fault{broken: true, after: 2})
		failure := failed(t, r, modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeEngineFailed)
		w.assertNothingHeld(t)
	})
}

// All decode engines have failed the request. The caller must be told that, and not that
// there are no endpoints.
func TestExhausted(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setDecodeFaults("decode", fault{broken: true})
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeEngineFailed)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeFailed)
	})
}
