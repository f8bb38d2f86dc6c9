package route_test

import (
	"bufio"
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// A daemon loses its place in the fleet while answers stream, and is about to close its
// connections. Each stream must end with an event that states the failure and its code,
// instead of being cut off.
func TestAbortEndsStreamsClearly(t *testing.T) {
	w := newFakeFleet()
	w.setFault("decode", "d1", 1, fault{stall: true, after: 2})
	r := w.router(route.Bounds{})
	server := serveRouter(t, w, r)
	response := post(t.Context(), t, server, "/v1/chat/completions", strings.NewReader(chatStream))
	body := bufio.NewReader(response.Body)
	for range 4 { // two events, each with its empty line
		_, err := body.ReadString('\n')
		assert.NilError(t, err)
	}
	r.Abort()
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	list := events(string(rest))
	failure := failureIn(t, list[len(list)-1])
	assert.Equal(t, failure.Code, callerapi.CodeNotCurrent)
	assert.Equal(t, failure.Outcome, callerapi.OutcomeFailed)
	assert.Equal(t, w.sent("decode "), 1)
	w.assertNothingHeld(t)
}

// Abort must also end a keyed request, which isn't bound to its caller.
func TestAbortEndsKeyedRuns(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		s := &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 1 {
				r.Abort()
			}
		}}
		request := modelRequest()
		request.Key = "gloss-1"
		a := r.Complete(t.Context(), request, s)
		assert.Assert(t, a.Failure != nil)
		assert.Equal(t, a.Failure.Code, callerapi.CodeNotCurrent)
		assert.Assert(t, a.Failure.Outcome != callerapi.OutcomeNotRun)
		assert.NilError(t, r.Drain(context.Background()))
		assert.Equal(t, w.recorded(), pb.OutcomeKind_OUTCOME_KIND_FAILED)
		w.assertNothingHeld(t)
	})
}

// A call that must not be repeated has been sent when its daemon loses its place in the
// fleet. The caller must be told at once that the outcome is unknown.
func TestAbortedCallIsUnknown(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		r := w.router(route.Bounds{})
		w.setFault("call", "s1", 1, fault{stall: true})
		w.afterSend = func(string) { r.Abort() }
		failure := callFailed(t, r, callRequest())
		assert.Equal(t, failure.Outcome, callerapi.OutcomeUnknown)
		assert.Assert(t, !failure.TimedOut)
	})
}
