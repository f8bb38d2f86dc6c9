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
	request, ok := take[engineapi.ImportRequest](w, r)
	if !ok {
		return
	}
	begun := time.Now()
	h, refused := s.startImport(request)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	if err := s.fetch(r.Context(), h, request); err != nil {
		s.freeNow(h, err)
		refuse(w, transferRefusal(err))
		return
	}
	s.mu.Lock()
	h.arrived = true
	s.mu.Unlock()
	reply(w, engineapi.ImportReply{
		Attempt:     h.attempt,
		Incarnation: s.options.Incarnation,
		TransferMs:  ms(time.Since(begun)),
	})
}

// transferError is a fetch that the other engine refused.
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

func (s *Standin) startImport(r engineapi.ImportRequest) (*hold, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.check(r.Work, fleet.RoleDecode); refused != nil {
		return nil, refused
	}
	if refused := s.refuseNew(); refused != nil {
		return nil, refused
	}
	if refused := s.takeOver(r); refused != nil {
		return nil, refused
	}
	h, refused := s.enter(r.Work, engineapi.StageImported, r.KVBytes, "")
	if refused != nil {
		return nil, refused
	}
	h.promptTokens = r.PromptTokens
	h.fact.Imports++
	return h, nil
}

// takeOver frees the exported KV cache of an attempt that goes on in this same
// process, whose import then needs no transfer. mu is held.
func (s *Standin) takeOver(r engineapi.ImportRequest) *refusal {
	if r.Source != s.address {
		return nil
	}
	old, ok := s.holds[r.Attempt]
	if !ok || old.stage != engineapi.StageExported || old.handle != r.Handle {
		return &refusal{engineapi.CodeGone, "KV cache unknown or expired"}
	}
	old.fact.PrefillUsed = true
	s.free(old, nil)
	return nil
}

// fetch reads the KV cache from the other engine. It ends with the client's
// connection, a cancel of the attempt, or TransferBound.
func (s *Standin) fetch(client context.Context, h *hold, r engineapi.ImportRequest) error {
	if r.Source == s.Address() {
		return nil
	}
	ctx, stop := context.WithTimeout(client, s.timing.TransferBound)
	defer stop()
	defer context.AfterFunc(h.ctx, stop)()
	err := s.receive(ctx, r)
	if cause := context.Cause(h.ctx); cause != nil {
		return cause
	}
	return err
}

func (s *Standin) receive(ctx context.Context, r engineapi.ImportRequest) error {
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
	return s.drain(ctx, response.Body)
}

func (s *Standin) drain(ctx context.Context, body io.Reader) error {
	part := make([]byte, max(1, s.wire(s.ingress.piece())))
	for {
		n, err := body.Read(part)
		if n > 0 && !s.ingress.pass(ctx, int64(n)*s.timing.WireScale) {
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
