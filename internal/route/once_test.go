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

// A pickup slip's call fails at each position of its way. Sent again, it sends
// a second truck; answered "not run" when it may have run, the volunteer sends
// it again by hand. It must be sent at most once, and "not run" said only when
// nothing left.
func TestOnceFailurePositions(t *testing.T) {
	cases := map[string]struct {
		prepare func(w *world)
		sent    int
		outcome callerapi.Outcome // empty: answered
		record  pb.OutcomeKind    // of the key afterwards; 0: none
	}{
		"whole": {func(*world) {}, 1, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
		"overloaded": {func(w *world) {
			w.denied = &admission.Decision{Code: callerapi.CodeOverloaded}
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"no slot": {func(w *world) {
			w.refuse = endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL}
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"no slot, ledger cut off": {func(w *world) {
			w.refuse = endpoint.Refusal{Status: pb.GrantStatus_GRANT_STATUS_FULL}
			w.ledger = func(string) error { return errNoReplica }
		}, 0, callerapi.OutcomeUnknown, 0},
		"claim not proposed": {func(w *world) {
			w.ledger = func(string) error { return errNoReplica }
		}, 0, callerapi.OutcomeUnknown, 0},
		"claim undecided": {func(w *world) {
			w.ledger = func(string) error { return errUndecided }
		}, 0, callerapi.OutcomeUnknown, 0},
		"frozen after the claim": {func(w *world) {
			w.onClaim = func() { w.stale = true }
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"no connection": {func(w *world) {
			w.set("call", "s1", 9, fault{unsent: true})
		}, 1, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
		"no connection to any": {func(w *world) {
			w.set("call", "s1", 9, fault{unsent: true})
			w.set("call", "s2", 9, fault{unsent: true})
		}, 0, callerapi.OutcomeNotRun, pb.OutcomeKind_OUTCOME_KIND_NOT_RUN},
		"connection broke": {func(w *world) {
			w.set("call", "s1", 9, fault{broken: true})
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"no answer in time": {func(w *world) {
			w.set("call", "s1", 9, fault{stall: true})
		}, 1, callerapi.OutcomeUnknown, pb.OutcomeKind_OUTCOME_KIND_UNKNOWN},
		"endpoint refuses": {func(w *world) {
			w.set("call", "s1", 9, fault{code: "stale"})
		}, 2, "", pb.OutcomeKind_OUTCOME_KIND_COMPLETED},
	}
	for name, tc := range cases {
		runInWorld(t, name, func(t *testing.T, w *world) {
			tc.prepare(w)
			request := keyedCall()
			answer, failure := w.router(route.Bounds{}).Call(t.Context(), request)
			assert.Equal(t, w.sent("call"), tc.sent)
			assert.Equal(t, w.recorded(), tc.record)
			w.assertFree(t)
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

// The same slip is sent again: at once by two entries, after it ran, after its
// outcome was lost, and with another body. Only the first ever runs.
func TestOnceRepeated(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.set("call", "s1", 1, fault{stall: true})
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
		w.assertFree(t)
	})
}

// A volunteer's phone loses its connection while the slip is written. Ending
// the call then would leave nobody knowing whether it ran; it goes on, and its
// outcome is there for the repeat.
func TestOnceOutlivesItsCaller(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		ctx, cancel := context.WithCancel(t.Context())
		w.beforeSend = func(string) { cancel() }
		request := keyedCall()
		r := w.router(route.Bounds{})
		_, failure := r.Call(ctx, request)
		assert.Assert(t, failure == nil, "%v", failure)
		known, failure := r.Lookup(t.Context(), "sutokatha", "slip-7")
		assert.Assert(t, failure == nil)
		assert.Equal(t, known.Outcome, callerapi.OutcomeCompleted)
		assert.Equal(t, known.StatusCode, 201)
	})
}

// An idempotent lookup meets an endpoint that dies: it is sent to another one,
// and never to the same again.
func TestRepeatableCallRetries(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.set("call", "s1", 9, fault{broken: true})
		request := callRequest()
		request.Method = "GET"
		answer, failure := w.router(route.Bounds{}).Call(t.Context(), request)
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, string(answer.Body), "slip GET /slips/7")
		assert.Equal(t, w.sent("call s1"), 1)
		assert.Equal(t, w.sent("call s2"), 1)
		assert.Equal(t, len(w.records), 0)
		w.assertFree(t)
	})
}

// What the caller says wins over settings that allow a repeat; settings win
// when the caller says nothing.
func TestCallerForbidsRepeat(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.set("call", "s1", 9, fault{broken: true})
		request := callRequest()
		request.Method, request.Once = "GET", true
		failure := callFailed(t, w.router(route.Bounds{}), request)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeUnknown)
		assert.Equal(t, w.sent("call"), 1)
	})
}

// A slip is on its way at one entry when its repeat meets another one that has
// no slot. "Not run" would be false: the answer must say that it is in flight.
func TestOnceRefusedRepeat(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.set("call", "s1", 1, fault{stall: true})
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
