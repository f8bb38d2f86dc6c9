package route_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/admission"
	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Methods of quarantine.Guard, admission.Controller, schedule.StartPolicy and timeline.Recorder.

func (w *fakeFleet) Begin(context.Context, fleet.Fingerprint, fleet.ZoneSet, fleet.AttemptID) (pb.RunVerdict, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.verdict, 20 * time.Millisecond
}

func (w *fakeFleet) End(_ fleet.Fingerprint, _ fleet.ZoneSet, _ fleet.AttemptID, completed, crashed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, guardEnd{completed: completed, crashed: crashed})
}

func (w *fakeFleet) Admit(time.Time, admission.Request) admission.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.denied != nil {
		return *w.denied
	}
	return admission.Decision{Admitted: true}
}

func (w *fakeFleet) Done(time.Time, admission.Request) {}

func (w *fakeFleet) ObserveFirstToken(time.Time, admission.Request, time.Duration) {}

func (w *fakeFleet) TakeRetry(time.Time, fleet.Team, fleet.EndpointID) bool { return !w.noBudget }

func (w *fakeFleet) RecordSuccess(time.Time, fleet.Team, fleet.EndpointID) {}

func (w *fakeFleet) Plan(schedule.StartInput) schedule.StartPlan { return w.plan }

func (w *fakeFleet) Record(e timeline.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

type firstChoice struct{}

func (firstChoice) Choose(_ schedule.Request, from []endpoint.Candidate, _ *rand.Rand) (endpoint.Candidate, bool) {
	if len(from) == 0 {
		return endpoint.Candidate{}, false
	}
	return from[0], true
}

// sink collects the output that a caller receives.
type sink struct {
	mu    sync.Mutex
	text  strings.Builder
	after func(engineapi.Chunk)
}

func (s *sink) WriteChunk(c engineapi.Chunk) error {
	s.mu.Lock()
	s.text.WriteString(c.Text)
	s.mu.Unlock()
	if s.after != nil {
		s.after(c)
	}
	return nil
}

func (s *sink) got() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// tokens returns the complete output of n tokens.
func tokens(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(i))
	}
	return b.String()
}

func modelRequest() route.ModelRequest {
	return route.ModelRequest{
		ID: "r-1", Team: "sutokatha", Model: "fibre", Prompt: "Assess the bale of cotton offcuts.",
		MaxTokens: 10, CallerKind: "sorter", Arrived: time.Now(),
	}
}

// served runs a request that must be served: s must receive each token once.
func served(t *testing.T, r *route.Router, request route.ModelRequest, s *sink) route.ModelResult {
	t.Helper()
	a := r.Complete(t.Context(), request, s)
	assert.Assert(t, a.Failure == nil, "%v", a.Failure)
	assert.Equal(t, s.got(), tokens(request.MaxTokens))
	return a
}

// failed runs a request that must fail.
func failed(t *testing.T, r *route.Router, request route.ModelRequest) *route.Failure {
	t.Helper()
	a := r.Complete(t.Context(), request, &sink{})
	assert.Assert(t, a.Failure != nil)
	return a.Failure
}

// callFailed makes a call that must fail.
func callFailed(t *testing.T, r *route.Router, request route.CallRequest) *route.Failure {
	t.Helper()
	_, failure := r.Call(t.Context(), request)
	assert.Assert(t, failure != nil)
	return failure
}

func keyedCall() route.CallRequest {
	request := callRequest()
	request.Key = "slip-7"
	return request
}

func callRequest() route.CallRequest {
	return route.CallRequest{
		ID: "r-2", Team: "sutokatha", Service: "bank", Method: http.MethodPost, Path: "/slips/7", Body: []byte("slip"), Arrived: time.Now(),
	}
}

// recorded returns the outcome in the only record of the ledger; 0: there is none.
func (w *fakeFleet) recorded() pb.OutcomeKind {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.records {
		return r.Outcome
	}
	return 0
}

func (w *fakeFleet) grantCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.grants)
}

// clearRecords drops what would accumulate over a benchmark.
func (w *fakeFleet) clearRecords() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events, w.sends, w.releases, w.ends = w.events[:0], w.sends[:0], w.releases[:0], w.ends[:0]
	clear(w.records)
	clear(w.held)
}
