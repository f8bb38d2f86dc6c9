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
	request, ok := take[engineapi.DecodeRequest](w, r)
	if !ok {
		return
	}
	s.crash(engineapi.StageDecode, request.Prompt)
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

func (s *Standin) startDecode(r engineapi.DecodeRequest) (*hold, *refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused := s.check(r.Work, fleet.RoleDecode); refused != nil {
		return nil, refused
	}
	h, ok := s.holds[r.Attempt]
	if !ok || h.stage != engineapi.StageImported || !h.arrived {
		return nil, &refusal{engineapi.CodeGone, "no KV cache of this attempt"}
	}
	seed := xxhash.Sum64String(r.Prompt)
	total, cut := OutputTokens(r.Prompt, r.MaxTokens)
	if r.Offset < 0 || r.Offset >= total || r.Prefix != textOf(seed, 0, r.Offset) {
		return nil, &refusal{engineapi.CodeBadRequest, "offset and prefix are no part of the answer"}
	}
	h.seed, h.total, h.cut = seed, total, cut
	h.produced = r.Offset
	h.progress = make(chan struct{}, 1)
	h.stage = engineapi.StageDecode
	h.fact.Decodes++
	h.fact.Offset = r.Offset
	h.fact.Marker = Marker(r.Prompt)
	s.recorder.audit.Runs++
	s.grow(h, int64(r.Offset)*s.timing.KVToken)
	s.wakeBatch()
	return h, nil
}

// stream writes tokens as they are made. Text depends on prompt and position
// alone, so that a slow reader needs no buffer.
func (s *Standin) stream(r *http.Request, h *hold, out *chunkWriter, sent int) {
	if s.options.FreeOnDisconnect {
		defer func() { s.freeNow(h, errCancelled) }()
	}
	if !out.begin() {
		return
	}
	for {
		select {
		case <-h.progress:
		case <-h.ctx.Done():
		case <-r.Context().Done():
			return
		}
		s.waitThaw(r.Context().Done())
		s.mu.Lock()
		produced, finish := h.produced, h.fact.Finish
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
	written     int
}

// faultAfter is how many chunks come before a wrong one.
const faultAfter = 2

// writeTimeout ends a stream whose reader takes nothing.
const writeTimeout = 30 * time.Second

func (c *chunkWriter) begin() bool {
	c.writer.Header().Set("Content-Type", engineapi.MediaEvents)
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
	c.written++
	if c.written <= faultAfter {
		return c.put(chunk)
	}
	if c.fault == ChunkGap {
		c.fault = ""
		return true // this chunk never leaves
	}
	return c.put(c.corrupt(chunk, seed))
}

// corrupt makes the next chunk wrong, once. A chunk of another attempt or
// process has another answer's text.
func (c *chunkWriter) corrupt(chunk engineapi.Chunk, seed uint64) engineapi.Chunk {
	switch c.fault {
	case ChunkCrossed:
		chunk.Attempt = "ffffffffffffffffffffffffffffffff"
		chunk.Text = textOf(seed+1, chunk.Offset, chunk.Offset+chunk.Tokens)
	case ChunkStale:
		chunk.Incarnation--
		chunk.Text = textOf(seed+1, chunk.Offset, chunk.Offset+chunk.Tokens)
	case ChunkRepeat:
		chunk.Offset--
		chunk.Text = textOf(seed, chunk.Offset, chunk.Offset+chunk.Tokens)
	case ChunkCut:
		_, _ = c.writer.Write([]byte(`data: {"attempt_id":"`))
		_ = c.control.Flush()
		panic(http.ErrAbortHandler)
	}
	c.fault = ""
	return chunk
}

func (c *chunkWriter) put(chunk engineapi.Chunk) bool {
	line, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	line = append([]byte("data: "), line...)
	line = append(line, '\n', '\n')
	// A connection without deadlines, as in tests, has none to set.
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
