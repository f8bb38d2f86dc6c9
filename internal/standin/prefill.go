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
	errExpired        = errors.New("KV cache expired")
	errDeadlinePassed = errors.New("deadline passed in the queue")
)

func (s *Standin) servePrefill(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[engineapi.PrefillRequest](w, r)
	if !ok {
		return
	}
	s.crashOnMarker(engineapi.StagePrefill, request.Prompt)
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
		KVBytes:      int64(h.promptTokens) * s.timing.KVBytesPerToken,
		WorkMs:       milliseconds(h.work),
		ExpiresMs:    s.timing.KVLifetime.Milliseconds(),
	})
}

func (s *Standin) startPrefill(r engineapi.PrefillRequest) (*heldRequest, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkWork(r.Work, fleet.RolePrefill); refused != nil {
		return nil, refused
	}
	if refused := s.refuseIfLeaving(); refused != nil {
		return nil, refused
	}
	tokens := PromptTokens(r.Prompt)
	h, refused := s.admit(r.Work, engineapi.StagePrefill, int64(tokens)*s.timing.KVBytesPerToken, Marker(r.Prompt))
	if refused != nil {
		return nil, refused
	}
	prefixes := engineapi.PrefixHashes(r.Model, r.Prompt)
	hits := s.prefixCache.matchPrefix(prefixes)
	h.handle = string(r.Attempt) + "-" + strconv.FormatUint(h.arrival, 10)
	h.promptTokens = tokens
	h.cachedTokens = min(tokens, hits*engineapi.PrefixBlockBytes/bytesPerToken)
	h.work = s.timing.prefill(tokens - h.cachedTokens)
	h.workLeft = h.work
	h.ready = make(chan struct{})
	h.record.Prefills++
	h.record.prefixes = prefixes
	s.recorder.audit.Runs++
	s.wakeBatch()
	return h, nil
}

// waitPrefill waits for the prefill work. It returns false if the request is freed
// before the work is done.
func (s *Standin) waitPrefill(client context.Context, h *heldRequest, deadlineMs int64) bool {
	if s.options.FreeOnDisconnect {
		defer context.AfterFunc(client, func() { s.freeLocking(h, errCancelled) })()
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

// dropQueued frees a prefill whose work hasn't started by its deadline.
func (s *Standin) dropQueued(h *heldRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.stage == engineapi.StagePrefill && h.workLeft == h.work {
		s.free(h, errDeadlinePassed)
	}
}

func (s *Standin) freeLocking(h *heldRequest, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(h, cause)
}

// finishPrefill keeps the KV cache for export until it expires. mu is held.
func (s *Standin) finishPrefill(h *heldRequest, now time.Time) {
	h.stage = engineapi.StageExported
	h.expires = now.Add(s.timing.KVLifetime)
	s.cacheEvents.add(s.prefixCache.store(h.record.prefixes))
	h.record.prefixes = nil
	close(h.ready)
	time.AfterFunc(s.timing.KVLifetime, func() { s.expire(h) })
}

// expire frees an exported KV cache unless a transfer is reading it.
func (s *Standin) expire(h *heldRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.stage == engineapi.StageExported && h.runningTransfers == 0 {
		s.free(h, errExpired)
	}
}
