package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

func call(t *testing.T, s *standin.Standin, attempt fleet.AttemptID, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://caller/slips", strings.NewReader(body))
	assert.NilError(t, err)
	return engine.NewClient(engine.Options{}).Call(t.Context(), target(s), allowAll, attempt, request)
}

func TestPlainCallIsRecorded(t *testing.T) {
	s := start(t, standin.Options{Role: fleet.RolePlain, Service: "bank"})
	attempt := newAttempt()
	response, err := call(t, s, attempt, "[[id=slip-9]]")
	assert.NilError(t, err)
	var answer standin.CallAnswer
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	response.Body.Close()
	assert.Equal(t, answer.Attempt, attempt)
	assert.Equal(t, answer.Marker, "slip-9")
	run := s.Audit().CallRuns[0]
	assert.Equal(t, run.Path, "/call/slips")
	assert.Equal(t, len(s.Audit().Repeated), 0)
}

// Two attempts run the same call. The audit must list it: with a real service the
// effect would happen twice.
func TestAuditListsRepeatedCalls(t *testing.T) {
	s := start(t, standin.Options{Role: fleet.RolePlain, Service: "bank"})
	for range 2 {
		response, err := call(t, s, newAttempt(), "[[id=slip-9]]")
		assert.NilError(t, err)
		response.Body.Close()
	}
	assert.DeepEqual(t, s.Audit().Repeated, []string{"slip-9"})
}

func TestCancelledCallIsRefused(t *testing.T) {
	s := start(t, standin.Options{Role: fleet.RolePlain, Service: "bank"})
	client := engine.NewClient(engine.Options{})
	attempt := newAttempt()
	client.Cancel(target(s), attempt)
	eventually(t, "cancel known", func() bool {
		response, err := call(t, s, attempt, "late")
		if err == nil {
			response.Body.Close()
		}
		return codeOf(err) == engineapi.CodeStale
	})
}

func TestFailingCalls(t *testing.T) {
	s := start(t, standin.Options{Role: fleet.RolePlain, Service: "bank"})
	s.SetFaults(standin.Faults{FailCalls: true})
	response, err := call(t, s, newAttempt(), "x")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	s.SetFaults(standin.Faults{AbortCalls: true})
	_, err = call(t, s, newAttempt(), "y")
	failure, ok := err.(*engine.Error)
	assert.Assert(t, ok)
	assert.Assert(t, failure.Sent)
	assert.Equal(t, len(s.Audit().CallRuns), 2)
}

// The home of a plain service changes during a long call. The new home learns of
// the call only from the endpoint: without the owner it would regard the call as
// abandoned and cancel it.
func TestHeldCallNamesItsOwner(t *testing.T) {
	s := start(t, standin.Options{Role: fleet.RolePlain, Service: "bank"})
	s.SetFaults(standin.Faults{HangCalls: true})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://caller/slips", strings.NewReader("x"))
		if err == nil {
			_, err = engine.NewClient(engine.Options{Owner: owner}).Call(ctx, target(s), allowAll, newAttempt(), request)
		}
		done <- err
	}()
	eventually(t, "call runs", func() bool { return len(s.Held()) == 1 })
	assert.Equal(t, s.Held()[0].Owner, owner)
	stop()
	assert.ErrorIs(t, <-done, context.Canceled)
	eventually(t, "call given up", holdsNothing(s))
}
