package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func (s *Standin) serveImport(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[engineapi.ImportRequest](w, r)
	if !ok {
		return
	}
	started := time.Now()
	h, refused := s.startImport(request)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	if err := s.fetch(r.Context(), h, request); err != nil {
		s.freeLocking(h, err)
		refuse(w, transferRefusal(err))
		return
	}
	s.mu.Lock()
	h.kvArrived = true
	s.mu.Unlock()
	reply(w, engineapi.ImportReply{
		Attempt:     h.attempt,
		Incarnation: s.options.Incarnation,
		TransferMs:  milliseconds(time.Since(started)),
	})
}

// transferError is an answer of the other engine with a status other than 200.
type transferError struct {
	status int
}

// Error implements error.
func (e *transferError) Error() string {
	return fmt.Sprintf("other engine answered with status %d", e.status)
}

func transferRefusal(err error) refusal {
	var refused *transferError
	if errors.As(err, &refused) && refused.status == http.StatusGone {
		return refusal{engineapi.CodeGone, err.Error()}
	}
	if errors.Is(err, errCancelled) {
		return refusal{engineapi.CodeStale, err.Error()}
	}
	return refusal{engineapi.CodeTransfer, err.Error()}
}

func (s *Standin) startImport(r engineapi.ImportRequest) (*heldRequest, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkWork(r.Work, fleet.RoleDecode); refused != nil {
		return nil, refused
	}
	if refused := s.refuseIfLeaving(); refused != nil {
		return nil, refused
	}
	if refused := s.consumeLocalExport(r); refused != nil {
		return nil, refused
	}
	h, refused := s.admit(r.Work, engineapi.StageImported, r.KVBytes, "")
	if refused != nil {
		return nil, refused
	}
	h.promptTokens = r.PromptTokens
	h.record.Imports++
	return h, nil
}

// consumeLocalExport frees the attempt's exported KV cache if this process is also
// the source: the import then needs no transfer. mu is held.
func (s *Standin) consumeLocalExport(r engineapi.ImportRequest) *refusal {
	if r.Source != s.address {
		return nil
	}
	old, ok := s.heldRequests[r.Attempt]
	if !ok || old.stage != engineapi.StageExported || old.handle != r.Handle {
		return &refusal{engineapi.CodeGone, "KV cache unknown or expired"}
	}
	old.record.PrefillUsed = true
	s.free(old, nil)
	return nil
}

// fetch reads the KV cache from the other engine. It fails when the client
// disconnects, the attempt is cancelled, or Timing.TransferTimeout has passed.
func (s *Standin) fetch(client context.Context, h *heldRequest, r engineapi.ImportRequest) error {
	if r.Source == s.Address() {
		return nil
	}
	ctx, stop := context.WithTimeout(client, s.timing.TransferTimeout)
	defer stop()
	defer context.AfterFunc(h.ctx, stop)()
	err := s.download(ctx, r)
	if cause := context.Cause(h.ctx); cause != nil {
		return cause
	}
	return err
}

func (s *Standin) download(ctx context.Context, r engineapi.ImportRequest) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Source+"/v1/kv/"+r.Handle, nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &transferError{status: response.StatusCode}
	}
	return s.readAtLinkRate(ctx, response.Body)
}

func (s *Standin) readAtLinkRate(ctx context.Context, body io.Reader) error {
	part := make([]byte, max(1, s.wireBytes(s.ingress.pieceBytes())))
	for {
		n, err := body.Read(part)
		if n > 0 && !s.ingress.transfer(ctx, int64(n)*s.timing.KVBytesPerWireByte) {
			return ctx.Err()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
