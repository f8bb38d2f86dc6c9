package relay

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A model server dies in the middle of an event. The answer goes on at another
// one after the last whole event: none is lost, doubled, or glued together.
func TestResumableStreamGoesOn(t *testing.T) {
	w := newWorld(stream,
		gives(func() *Reply { return reply(200, errCut, event("1")+event("2"), "id: 3\nda") }),
		gives(func() *Reply { return ok(event("3"), event("4")) }))
	w.route.Resumable = true
	c, refusal := w.serve(t, exchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.text.String(), event("1")+event("2")+event("3")+event("4"))
	assert.Equal(t, w.endpoints.calls[1].After, "2")
	assert.Equal(t, c.begun, 1)
	assert.Assert(t, !c.aborted)
}

// A stream that may not run twice is broken off at the caller as well, so that
// it doesn't look whole.
func TestOtherStreamIsBrokenOff(t *testing.T) {
	for name, test := range map[string]struct {
		resumable bool
		answers   []answer
	}{
		"not resumable": {false, []answer{gives(func() *Reply { return reply(200, errCut, event("1")) })}},
		"resumed events come again": {true, []answer{
			gives(func() *Reply { return reply(200, errCut, event("1")+event("2")) }),
			gives(func() *Reply { return ok(event("2"), event("3")) }),
		}},
		"nobody goes on": {true, []answer{
			gives(func() *Reply { return reply(200, errCut, event("1")) }), gives(failure), gives(notRun), gives(notRun),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(stream, test.answers...)
			w.route.Resumable = test.resumable
			c, refusal := w.serve(t, exchange())
			assert.Assert(t, refusal == nil)
			assert.Assert(t, c.aborted)
			assert.Assert(t, strings.HasPrefix(event("1")+event("2"), c.text.String()), c.text.String())
		})
	}
}

func TestSplitter(t *testing.T) {
	s := splitter{}
	whole, id := s.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	assert.Equal(t, string(whole), "id: 1\ndata: a\n\n")
	assert.Equal(t, id, "1")
	s.drop(len(whole))
	assert.Assert(t, s.rest())
	whole, id = s.add([]byte("ta: b\n\n"))
	assert.Equal(t, string(whole), "id: 2\ndata: b\n\n")
	assert.Equal(t, id, "2")
	s.drop(len(whole))
	assert.Assert(t, !s.rest())
	assert.Equal(t, firstEventID([]byte("data: x\nid: 7\n\nid: 8\n\n")), "7")
	assert.Equal(t, lastEventID([]byte("data: x\n\n")), "")
	for _, test := range []struct {
		last, next string
		want       bool
	}{{"", "1", true}, {"1", "2", true}, {"9", "10", true}, {"2", "2", false}, {"3", "2", false}, {"a", "b", true}, {"a", "a", false}} {
		assert.Equal(t, follows(test.last, test.next), test.want, "%q %q", test.last, test.next)
	}
}

// A model server dies two seconds into a stream that may be resumed, long after
// the target for the first part. It goes on at another server: a target that
// was met, or missed, at the beginning says nothing about the rest.
func TestStreamGoesOnLongAfterItsTarget(t *testing.T) {
	for name, first := range map[string]func() *Reply{
		"in its middle":         func() *Reply { return reply(200, errCut, event("1")) },
		"before its first part": func() *Reply { return reply(200, errCut) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := func(*Call) (*Reply, error) { time.Sleep(2 * time.Second); return first(), nil }
				w := newWorld(stream, gives(func() *Reply { return ok("{}") }), slow,
					gives(func() *Reply { return ok(event("2")) })).model()
				w.route.Resumable = true
				c, refusal := w.serve(t, modelExchange())
				assert.Assert(t, refusal == nil)
				assert.Assert(t, !c.aborted)
				assert.Assert(t, strings.HasSuffix(c.text.String(), event("2")))
			})
		})
	}
}
