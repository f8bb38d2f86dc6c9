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

// stallPollInterval is the interval at which a stalled transfer checks whether to continue.
const stallPollInterval = 10 * time.Millisecond

// serveKV sends a KV cache at the link's rate. The memory is freed once the last
// byte has been written. After a transfer that fails, another one may follow until
// the KV cache expires.
func (s *Standin) serveKV(w http.ResponseWriter, r *http.Request) {
	h := s.startExport(chi.URLParam(r, "handle"))
	if h == nil {
		refuse(w, refusal{engineapi.CodeGone, "KV cache unknown or expired"})
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	defer context.AfterFunc(h.ctx, stop)()
	complete := s.sendKV(ctx, w, int64(h.promptTokens)*s.timing.KVBytesPerToken)
	s.endExport(h, complete)
	if !complete {
		panic(http.ErrAbortHandler) // the receiver must not take it for complete
	}
}

func (s *Standin) startExport(handle string) *heldRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.heldRequests {
		if h.handle == handle && h.stage == engineapi.StageExported {
			h.runningTransfers++
			return h
		}
	}
	return nil
}

func (s *Standin) endExport(h *heldRequest, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.runningTransfers--
	if complete {
		h.record.PrefillUsed = true
		s.free(h, nil)
		return
	}
	if h.runningTransfers == 0 && !time.Now().Before(h.expires) {
		s.free(h, errExpired)
	}
}

func (s *Standin) sendKV(ctx context.Context, w http.ResponseWriter, kv int64) bool {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.wireBytes(kv), 10))
	control := http.NewResponseController(w)
	zeros := make([]byte, s.wireBytes(s.egress.pieceBytes()))
	for sent := int64(0); sent < kv; {
		part := min(s.egress.pieceBytes(), kv-sent)
		if !s.egress.transfer(ctx, part) || !s.waitWhileStalled(ctx) {
			return false
		}
		size := s.wireBytes(sent+part) - s.wireBytes(sent)
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

// wireBytes returns the number of bytes sent for the first kv bytes of a KV cache.
func (s *Standin) wireBytes(kv int64) int64 {
	return (kv + s.timing.KVBytesPerWireByte - 1) / s.timing.KVBytesPerWireByte
}

func (s *Standin) waitWhileStalled(ctx context.Context) bool {
	for s.Faults().StallTransfers {
		if !sleep.For(ctx, stallPollInterval) {
			return false
		}
	}
	s.waitWhileFrozen(ctx.Done())
	return ctx.Err() == nil
}
