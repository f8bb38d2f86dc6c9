package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// CallRun records one run of a plain call.
type CallRun struct {
	Attempt fleet.AttemptID `json:"attempt_id"`
	Method  string          `json:"method"`
	Path    string          `json:"path"`
	Marker  string          `json:"marker"` // from the body, or the body's hash
	AtMs    int64           `json:"at_ms"`
}

// CallAnswer is the body of a plain call's answer.
type CallAnswer struct {
	Endpoint fleet.EndpointID `json:"endpoint"`
	Attempt  fleet.AttemptID  `json:"attempt_id"`
	Marker   string           `json:"marker"`
	Bytes    int              `json:"bytes"` // of the request's body
}

func (s *Standin) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, refusal{engineapi.CodeBadRequest, "body can't be read"})
		return
	}
	s.crashOnMarker(engineapi.StageCall, string(body))
	run := callRun(r, body)
	h, refused := s.startCall(r, run)
	if refused != nil {
		w.Header().Set(engineapi.HeaderRefusal, string(refused.code))
		refuse(w, *refused)
		return
	}
	defer s.freeLocking(h, nil)
	if !s.simulateCall(r.Context(), h) {
		http.Error(w, "call was given up", http.StatusServiceUnavailable)
		return
	}
	s.answerCall(w, CallAnswer{Endpoint: s.options.ID, Attempt: run.Attempt, Marker: run.Marker, Bytes: len(body)})
}

func callRun(r *http.Request, body []byte) CallRun {
	run := CallRun{
		Attempt: fleet.AttemptID(r.Header.Get(engineapi.HeaderAttempt)),
		Method:  r.Method,
		Path:    r.URL.Path,
		Marker:  Marker(string(body)),
		AtMs:    time.Now().UnixMilli(),
	}
	if run.Marker == "" {
		run.Marker = strconv.FormatUint(xxhash.Sum64(body), 16)
	}
	return run
}

func (s *Standin) startCall(r *http.Request, run CallRun) (*heldRequest, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != fleet.RolePlain {
		return nil, &refusal{engineapi.CodeWrongRole, string(s.role)}
	}
	if s.cancelled.has(run.Attempt) {
		return nil, &refusal{engineapi.CodeStale, "attempt was cancelled"}
	}
	if refused := s.refuseIfLeaving(); refused != nil {
		return nil, refused
	}
	work := engineapi.Work{Attempt: run.Attempt, Owner: parseOwner(r.Header.Get(engineapi.HeaderOwner))}
	h, refused := s.admit(work, engineapi.StageCall, 0, run.Marker)
	if refused != nil {
		return nil, refused
	}
	h.record.Calls++
	s.recorder.addCall(run)
	return h, nil
}

// simulateCall waits for the call's duration. It returns false if the call is
// cancelled or its client disconnects first.
func (s *Standin) simulateCall(client context.Context, h *heldRequest) bool {
	ctx, stop := context.WithCancel(client)
	defer stop()
	defer context.AfterFunc(h.ctx, stop)()
	f := s.Faults()
	if f.HangCalls {
		<-ctx.Done()
		return false
	}
	return sleep.For(ctx, s.timing.CallDuration+time.Duration(f.CallDelayMs)*time.Millisecond)
}

func (s *Standin) answerCall(w http.ResponseWriter, answer CallAnswer) {
	f := s.Faults()
	if f.AbortCalls {
		panic(http.ErrAbortHandler)
	}
	if f.FailCalls {
		http.Error(w, "service failed", http.StatusInternalServerError)
		return
	}
	reply(w, answer)
}
