package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

func (s *Standin) serveDecode(w http.ResponseWriter, r *http.Request) {
	request, ok := decodeBody[engineapi.DecodeRequest](w, r)
	if !ok {
		return
	}
	s.crashOnMarker(engineapi.StageDecode, request.Prompt)
	h, refused := s.startDecode(request)
	if refused != nil {
		refuse(w, *refused)
		return
	}
	out := &chunkWriter{
		writer:      w,
		control:     http.NewResponseController(w),
		attempt:     h.attempt,
		incarnation: s.options.Incarnation,
		fault:       s.takeChunkFault(),
	}
	s.stream(r, h, out, request.Offset)
}

func (s *Standin) startDecode(r engineapi.DecodeRequest) (*heldRequest, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.checkWork(r.Work, fleet.RoleDecode); refused != nil {
		return nil, refused
	}
	h, ok := s.heldRequests[r.Attempt]
	if !ok || h.stage != engineapi.StageImported || !h.kvArrived {
		return nil, &refusal{engineapi.CodeGone, "no KV cache of this attempt"}
	}
	seed := xxhash.Sum64String(r.Prompt)
	total, cut := OutputTokens(r.Prompt, r.MaxTokens)
	if r.Offset < 0 || r.Offset >= total || r.Prefix != textOf(seed, 0, r.Offset) {
		return nil, &refusal{engineapi.CodeBadRequest, "offset and prefix are no part of the answer"}
	}
	h.seed, h.totalTokens, h.truncated = seed, total, cut
	h.produced = r.Offset
	h.progressed = make(chan struct{}, 1)
	h.stage = engineapi.StageDecode
	h.record.Decodes++
	h.record.Offset = r.Offset
	h.record.Marker = Marker(r.Prompt)
	s.recorder.audit.Runs++
	s.growKV(h, int64(r.Offset)*s.timing.KVBytesPerToken)
	s.wakeBatch()
	return h, nil
}

// stream writes tokens as they are generated. The text depends only on prompt and
// position, so no buffer is needed for a slow reader.
func (s *Standin) stream(r *http.Request, h *heldRequest, out *chunkWriter, sent int) {
	if s.options.FreeOnDisconnect {
		defer func() { s.freeLocking(h, errCancelled) }()
	}
	if !out.sendHeader() {
		return
	}
	for {
		select {
		case <-h.progressed:
		case <-h.ctx.Done():
		case <-r.Context().Done():
			return
		}
		s.waitWhileFrozen(r.Context().Done())
		s.mu.Lock()
		produced, finish := h.produced, h.record.Finish
		freed := h.ctx.Err() != nil
		s.mu.Unlock()
		if produced > sent || freed {
			if !out.write(h.seed, sent, produced, finish) {
				return
			}
			sent = produced
		}
		if freed {
			return
		}
	}
}

// chunkWriter writes one decode stream.
type chunkWriter struct {
	writer      http.ResponseWriter
	control     *http.ResponseController
	attempt     fleet.AttemptID
	incarnation fleet.Incarnation
	fault       ChunkFault
	chunkCount  int
}

// chunksBeforeFault is the number of correct chunks before a wrong one.
const chunksBeforeFault = 2

// writeTimeout ends a stream whose client doesn't read.
const writeTimeout = 30 * time.Second

func (c *chunkWriter) sendHeader() bool {
	c.writer.Header().Set("Content-Type", engineapi.EventStreamMediaType)
	c.writer.WriteHeader(http.StatusOK)
	return c.control.Flush() == nil
}

func (c *chunkWriter) write(seed uint64, from, to int, finish engineapi.Finish) bool {
	chunk := engineapi.Chunk{
		Attempt:     c.attempt,
		Incarnation: c.incarnation,
		Offset:      from,
		Tokens:      to - from,
		Text:        textOf(seed, from, to),
		Finish:      finish,
	}
	c.chunkCount++
	if c.chunkCount <= chunksBeforeFault {
		return c.send(chunk)
	}
	if c.fault == ChunkMissingTokens {
		c.fault = ""
		return true // the chunk is dropped
	}
	return c.send(c.corrupt(chunk, seed))
}

// corrupt applies the fault to chunk and clears it. A chunk of another attempt or
// incarnation gets the text of another answer.
func (c *chunkWriter) corrupt(chunk engineapi.Chunk, seed uint64) engineapi.Chunk {
	switch c.fault {
	case ChunkWrongAttempt:
		chunk.Attempt = "ffffffffffffffffffffffffffffffff"
		chunk.Text = textOf(seed+1, chunk.Offset, chunk.Offset+chunk.Tokens)
	case ChunkEarlierIncarnation:
		chunk.Incarnation--
		chunk.Text = textOf(seed+1, chunk.Offset, chunk.Offset+chunk.Tokens)
	case ChunkRepeatedToken:
		chunk.Offset--
		chunk.Text = textOf(seed, chunk.Offset, chunk.Offset+chunk.Tokens)
	case ChunkTruncated:
		_, _ = c.writer.Write([]byte(`data: {"attempt_id":"`))
		_ = c.control.Flush()
		panic(http.ErrAbortHandler)
	}
	c.fault = ""
	return chunk
}

func (c *chunkWriter) send(chunk engineapi.Chunk) bool {
	line, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	line = append([]byte("data: "), line...)
	line = append(line, '\n', '\n')
	// Writers in tests may not support deadlines.
	_ = c.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.writer.Write(line); err != nil {
		return false
	}
	return c.control.Flush() == nil
}

func (s *Standin) takeChunkFault() ChunkFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults.ChunkFault
	s.faults.ChunkFault = ""
	return f
}
