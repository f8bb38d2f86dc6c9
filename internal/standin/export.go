package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/sleep"
)

// stallPoll is how often a stalled transfer looks whether it may go on.
const stallPoll = 10 * time.Millisecond

// serveKV sends a KV cache at the link's rate. The memory is free once the
// last byte has been written; a transfer that breaks leaves the rest of the
// KV cache's life to another try.
func (s *Standin) serveKV(w http.ResponseWriter, r *http.Request) {
	h := s.startExport(chi.URLParam(r, "handle"))
	if h == nil {
		refuse(w, refusal{engineapi.CodeGone, "KV cache unknown or expired"})
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	defer context.AfterFunc(h.ctx, stop)()
	whole := s.send(ctx, w, int64(h.promptTokens)*s.timing.KVToken)
	s.endExport(h, whole)
	if !whole {
		panic(http.ErrAbortHandler) // the reader must not take it for whole
	}
}

func (s *Standin) startExport(handle string) *hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holds {
		if h.handle == handle && h.stage == engineapi.StageExported {
			h.transfers++
			return h
		}
	}
	return nil
}

func (s *Standin) endExport(h *hold, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.transfers--
	if whole {
		h.fact.PrefillUsed = true
		s.free(h, nil)
		return
	}
	if h.transfers == 0 && !time.Now().Before(h.expires) {
		s.free(h, errExpired)
	}
}

func (s *Standin) send(ctx context.Context, w http.ResponseWriter, kv int64) bool {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.wire(kv), 10))
	control := http.NewResponseController(w)
	zeros := make([]byte, s.wire(s.egress.piece()))
	for sent := int64(0); sent < kv; {
		part := min(s.egress.piece(), kv-sent)
		if !s.egress.pass(ctx, part) || !s.waitUnstalled(ctx) {
			return false
		}
		size := s.wire(sent+part) - s.wire(sent)
		if _, err := w.Write(zeros[:size]); err != nil {
			return false
		}
		if err := control.Flush(); err != nil {
			return false
		}
		sent += part
	}
	return ctx.Err() == nil
}

// wire gives the bytes on the wire for the first kv bytes of a KV cache.
func (s *Standin) wire(kv int64) int64 {
	return (kv + s.timing.WireScale - 1) / s.timing.WireScale
}

func (s *Standin) waitUnstalled(ctx context.Context) bool {
	for s.Faults().StallTransfers {
		if !sleep.For(ctx, stallPoll) {
			return false
		}
	}
	s.waitThaw(ctx.Done())
	return ctx.Err() == nil
}
