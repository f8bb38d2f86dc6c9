package standin

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

var (
	errExpired = errors.New("KV cache expired")
	errTooLate = errors.New("deadline passed in the queue")
)

func (s *Standin) servePrefill(w http.ResponseWriter, r *http.Request) {
	request, ok := take[engineapi.PrefillRequest](w, r)
	if !ok {
		return
	}
	s.crash(engineapi.StagePrefill, request.Prompt)
	h, refused := s.startPrefill(request)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	if !s.waitPrefill(r.Context(), h, request.DeadlineMs) {
		refuse(w, refusal{engineapi.CodeStale, context.Cause(h.ctx).Error()})
		return
	}
	reply(w, engineapi.PrefillReply{
		Attempt:      h.attempt,
		Incarnation:  s.options.Incarnation,
		Handle:       h.handle,
		PromptTokens: h.promptTokens,
		CachedTokens: h.cachedTokens,
		KVBytes:      int64(h.promptTokens) * s.timing.KVToken,
		WorkMs:       ms(h.work),
		ExpiresMs:    s.timing.KVLife.Milliseconds(),
	})
}

func (s *Standin) startPrefill(r engineapi.PrefillRequest) (*hold, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.check(r.Work, fleet.RolePrefill); refused != nil {
		return nil, refused
	}
	if refused := s.refuseNew(); refused != nil {
		return nil, refused
	}
	tokens := PromptTokens(r.Prompt)
	h, refused := s.enter(r.Work, engineapi.StagePrefill, int64(tokens)*s.timing.KVToken, Marker(r.Prompt))
	if refused != nil {
		return nil, refused
	}
	prefixes := engineapi.PrefixHashes(r.Model, r.Prompt)
	hits := s.cache.hits(prefixes)
	h.handle = string(r.Attempt) + "-" + strconv.FormatUint(h.arrival, 10)
	h.promptTokens = tokens
	h.cachedTokens = min(tokens, hits*engineapi.PrefixBlockBytes/bytesPerToken)
	h.work = s.timing.prefill(tokens - h.cachedTokens)
	h.left = h.work
	h.ready = make(chan struct{})
	h.fact.Prefills++
	h.fact.prefixes = prefixes
	s.recorder.audit.Runs++
	s.wakeBatch()
	return h, nil
}

// waitPrefill gives false when the hold was freed before its work was done.
func (s *Standin) waitPrefill(client context.Context, h *hold, deadlineMs int64) bool {
	if s.options.FreeOnDisconnect {
		defer context.AfterFunc(client, func() { s.freeNow(h, errCancelled) })()
	}
	if deadlineMs > 0 {
		deadline := time.AfterFunc(time.Duration(deadlineMs)*time.Millisecond, func() { s.dropQueued(h) })
		defer deadline.Stop()
	}
	select {
	case <-h.ready:
		return true
	case <-h.ctx.Done():
		return false
	}
}

// dropQueued frees a prefill whose work hasn't begun by its deadline.
func (s *Standin) dropQueued(h *hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.stage == engineapi.StagePrefill && h.left == h.work {
		s.free(h, errTooLate)
	}
}

func (s *Standin) freeNow(h *hold, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(h, cause)
}

// finishPrefill keeps the KV cache for its short life. mu is held.
func (s *Standin) finishPrefill(h *hold, now time.Time) {
	h.stage = engineapi.StageExported
	h.expires = now.Add(s.timing.KVLife)
	s.events.add(s.cache.store(h.fact.prefixes))
	h.fact.prefixes = nil
	close(h.ready)
	time.AfterFunc(s.timing.KVLife, func() { s.expire(h) })
}

// expire frees a KV cache that no transfer is reading.
func (s *Standin) expire(h *hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.stage == engineapi.StageExported && h.transfers == 0 {
		s.free(h, errExpired)
	}
}
