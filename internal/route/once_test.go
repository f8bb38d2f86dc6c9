package route_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

var errNoReplica = errors.New("no replica was asked")

// A call that must not be repeated fails at each of its stages. It must be sent at most
// once, and its outcome may be "not run" only if nothing was sent: otherwise the effect
// happens twice, by a retry here or by the caller.
func TestOnceFailurePositions(t *testing.T) {
	cases := map[string]struct {
		prepare func(w *fakeFleet)
		sent    int
		outcome callerapi.Outcome // empty: answered
		record  pb.OutcomeKind    // of the key afterwards; 0: none
	}{
		"whole": {func(*fakeFleet) {}, 1, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
		"overloaded": {func(w *fakeFleet) {
			w.denied = &admission.Decision{Code: callerapi.CodeOverloaded}
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"no slot": {func(w *fakeFleet) {
			w.refuse = endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL}
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"no slot, ledger cut off": {func(w *fakeFleet) {
			w.refuse = endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL}
			w.ledger = func(string) error { return errNoReplica }
		}, 0, callerapi.OutcomeUnknown, 0},
		"claim not proposed": {func(w *fakeFleet) {
			w.ledger = func(string) error { return errNoReplica }
		}, 0, callerapi.OutcomeUnknown, 0},
		"claim undecided": {func(w *fakeFleet) {
			w.ledger = func(string) error { return errUndecided }
		}, 0, callerapi.OutcomeUnknown, 0},
		"frozen after the claim": {func(w *fakeFleet) {
			w.onClaim = func() { w.stale = true }
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"no connection": {func(w *fakeFleet) {
			w.setFault("call", "s1", 9, fault{unsent: true})
		}, 1, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
		"no connection to any": {func(w *fakeFleet) {
			w.setFault("call", "s1", 9, fault{unsent: true})
			w.setFault("call", "s2", 9, fault{unsent: true})
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"connection broke": {func(w *fakeFleet) {
			w.setFault("call", "s1", 9, fault{broken: true})
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"endpoint ends with its answer": {func(w *fakeFleet) {
			w.answerLength, w.refusesConnections = -1, true
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"endpoint closes after its answer": {func(w *fakeFleet) {
			w.answerLength = -1
		}, 1, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
		"endpoint leaves after its answer": {func(w *fakeFleet) {
			w.answerLength, w.refusesConnections = -1, true
			w.onAnswer = func() { w.list = nil }
		}, 1, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
		"endpoint has restarted before the end is read": {func(w *fakeFleet) {
			w.answerLength, w.restarted = -1, true
			w.onAnswer = func() { time.Sleep(time.Second) }
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"next incarnation is known before the end is read": {func(w *fakeFleet) {
			w.answerLength = -1
			w.onAnswer = func() {
				for i := range w.list {
					w.list[i].Incarnation++
				}
			}
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"no answer in time": {func(w *fakeFleet) {
			w.setFault("call", "s1", 9, fault{stall: true})
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"endpoint refuses": {func(w *fakeFleet) {
			w.setFault("call", "s1", 9, fault{code: "stale"})
		}, 2, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
	}
	for name, tc := range cases {
		runWithFakeFleet(t, name, func(t *testing.T, w *fakeFleet) {
			tc.prepare(w)
			request := keyedCall()
			answer, failure := w.router(route.Bounds{}).Call(t.Context(), request)
			assert.Equal(t, w.sent("call"), tc.sent)
			assert.Equal(t, w.recorded(), tc.record)
			w.assertNothingHeld(t)
			if tc.outcome == "" {
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, string(answer.Body), "slip POST /slips/7")
				return
			}
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Outcome, tc.outcome)
		})
	}
}

// The same call is sent again: at once to another entry, after its outcome was lost, and
// with another body. Only the first may ever run.
func TestOnceRepeated(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setFault("call", "s1", 1, fault{stall: true})
		one, two := w.router(route.Bounds{}), w.router(route.Bounds{})
		request := keyedCall()
		go func() { _, _ = one.Call(t.Context(), request) }()
		synctest.Wait()
		failure := callFailed(t, two, request)
		assert.Equal(t, failure.Code, callerapi.CodeInFlight)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeInFlight)
		time.Sleep(3 * time.Second)
		failure = callFailed(t, two, request)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeUnknown)
		request.Body = []byte("another slip")
		failure = callFailed(t, two, request)
		assert.Equal(t, failure.Code, callerapi.CodeKeyReused)
		assert.Equal(t, w.sent("call"), 1)
		w.assertNothingHeld(t)
	})
}

// The caller's connection breaks while the call runs. Ending the call would leave its
// outcome unknown; it must continue, and its outcome be there for the repeat.
func TestOnceOutlivesItsCaller(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		ctx, cancel := context.WithCancel(t.Context())
		w.beforeSend = func(string) { cancel() }
		request := keyedCall()
		r := w.router(route.Bounds{})
		_, failure := r.Call(ctx, request)
		assert.Assert(t, failure == nil, "%v", failure)
		known, failure := r.LookupKey(t.Context(), "sutokatha", "slip-7")
		assert.Assert(t, failure == nil)
		assert.Equal(t, known.Outcome, callerapi.OutcomeCompleted)
		assert.Equal(t, known.StatusCode, 201)
	})
}

// An endpoint dies during an idempotent call. The call must be retried at another
// endpoint, never at the same one.
func TestRepeatableCallRetries(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setFault("call", "s1", 9, fault{broken: true})
		request := callRequest()
		request.Method = "GET"
		answer, failure := w.router(route.Bounds{}).Call(t.Context(), request)
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, string(answer.Body), "slip GET /slips/7")
		assert.Equal(t, w.sent("call s1"), 1)
		assert.Equal(t, w.sent("call s2"), 1)
		assert.Equal(t, len(w.records), 0)
		w.assertNothingHeld(t)
	})
}

// A caller that forbids a repeat takes precedence over settings that allow it.
func TestCallerForbidsRepeat(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setFault("call", "s1", 9, fault{broken: true})
		request := callRequest()
		request.Method, request.AtMostOnce = "GET", true
		failure := callFailed(t, w.router(route.Bounds{}), request)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeUnknown)
		assert.Equal(t, w.sent("call"), 1)
	})
}

// A call is running at one entry when its repeat reaches another that refuses it. The
// answer must be "in flight", since "not run" would be false.
func TestOnceRefusedRepeat(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.setFault("call", "s1", 1, fault{stall: true})
		one, two := w.router(route.Bounds{}), w.router(route.Bounds{})
		request := keyedCall()
		go func() { _, _ = one.Call(t.Context(), request) }()
		synctest.Wait()
		w.denied = &admission.Decision{Code: callerapi.CodeOverloaded}
		failure := callFailed(t, two, request)
		assert.Equal(t, failure.Code, callerapi.CodeOverloaded)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeInFlight)
		time.Sleep(3 * time.Second)
	})
}
