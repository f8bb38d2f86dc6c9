package route_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// A daemon loses its place in the fleet while answers stream. Its connections
// are about to be closed, which shows as an answer cut in the middle; the last
// event says first that it failed, and by which code.
func TestAbortEndsStreamsClearly(t *testing.T) {
	w := newWorld()
	w.set("decode", "d1", 1, fault{stall: true, after: 2})
	r := w.router(route.Bounds{})
	server := serveRouter(t, w, r)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(chatStream))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body := bufio.NewReader(response.Body)
	for range 4 { // two events, each with its empty line
		_, err = body.ReadString('\n')
		assert.NilError(t, err)
	}
	r.Abort()
	rest, err := io.ReadAll(body)
	assert.NilError(t, err)
	list := events(string(rest))
	var last callerapi.ErrorBody
	assert.NilError(t, json.Unmarshal([]byte(list[len(list)-1]), &last))
	assert.Equal(t, last.Error.Code, callerapi.CodeNotCurrent)
	assert.Equal(t, last.Error.Outcome, callerapi.OutcomeFailed)
	assert.Equal(t, w.sent("decode "), 1)
	w.assertFree(t)
}

// The same under a key: the run isn't bound to its caller, but ends too.
func TestAbortEndsKeyedRuns(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		s := &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 1 {
				r.Abort()
			}
		}}
		request := modelRequest()
		request.Key = "gloss-1"
		a := r.Model(t.Context(), request, s)
		assert.Assert(t, a.Failure != nil)
		assert.Equal(t, a.Failure.Code, callerapi.CodeNotCurrent)
		assert.Assert(t, a.Failure.Outcome != callerapi.OutcomeNotRun)
		assert.NilError(t, r.Drain(context.Background()))
		assert.Equal(t, w.recorded(), pb.OutcomeKind_OUTCOME_KIND_FAILED)
		w.assertFree(t)
	})
}

// A slip has left for the bank when its daemon loses its place: whether a
// truck was called isn't known, and the volunteer is told so at once.
func TestAbortedCallIsUnknown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		r := w.router(route.Bounds{})
		w.set("call", "s1", 1, fault{stall: true})
		w.afterSend = func(string) { r.Abort() }
		_, failure := r.Call(t.Context(), callRequest())
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeUnknown)
		assert.Assert(t, !failure.TimedOut)
	})
}
