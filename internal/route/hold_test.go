package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// holder is a caller whose connection buffers.
type holder struct {
	sink
	held string
}

func (h *holder) Hold(c engineapi.Chunk) error {
	h.held += c.Text
	return nil
}

func (h *holder) Pass(c engineapi.Chunk) error {
	_ = h.Hold(c)
	return h.Flush()
}

func (h *holder) Flush() error {
	err := h.sink.Pass(engineapi.Chunk{Text: h.held})
	h.held = ""
	return err
}

// Two tokens have come at once, and the first is kept back for one write with
// the second. Then the engine dies instead. The first must be with the caller
// before another engine is asked: a token kept back over a retry shows as a
// pause that nobody caused.
func TestHeldTokensLeaveBeforeARetry(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.ready = true
		w.set("decode", "d1", 1, fault{broken: true, after: 3})
		s := &holder{}
		w.beforeSend = func(next string) {
			if next == "prefill p1" && w.sent("decode d1") > 0 {
				assert.Check(t, s.held == "", "held: %q", s.held)
				assert.Check(t, s.got() == tokens(3), "out: %q", s.got())
			}
		}
		a := w.router(route.Bounds{}).Model(t.Context(), modelRequest(), s)
		assert.Assert(t, a.Failure == nil, "%v", a.Failure)
		assert.Equal(t, s.got(), tokens(10))
		assert.Equal(t, w.sent("decode "), 2)
		w.assertFree(t)
	})
}
