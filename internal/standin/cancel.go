package standin

import (
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func (s *Standin) serveCancel(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[engineapi.CancelRequest](w, r)
	if !ok {
		return
	}
	if s.shouldIgnoreCancel() {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	reply(w, engineapi.CancelReply{Freed: s.cancel(request.Attempt)})
}

func (s *Standin) shouldIgnoreCancel() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.IgnoreCancels == 0 {
		return false
	}
	s.faults.IgnoreCancels--
	return true
}

// cancel frees an attempt and makes later work of the attempt be refused.
func (s *Standin) cancel(attempt fleet.AttemptID) (freed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled.add(attempt)
	h, ok := s.heldRequests[attempt]
	if !ok {
		return false
	}
	h.record.Cancelled = true
	h.record.Finish = engineapi.FinishCancelled
	s.recorder.audit.Cancelled++
	s.free(h, errCancelled)
	return true
}

func (s *Standin) serveHeld(w http.ResponseWriter, _ *http.Request) {
	reply(w, engineapi.HeldReply{Incarnation: s.options.Incarnation, Held: s.Held()})
}

// Held returns the requests that occupy memory.
func (s *Standin) Held() []engineapi.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	held := make([]engineapi.Held, 0, len(s.heldRequests))
	for _, h := range s.heldRequests {
		held = append(held, h.held(now))
	}
	return held
}
