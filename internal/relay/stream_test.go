package relay

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A model server fails in the middle of an event. Another one continues the answer after
// the last complete event: none is lost, duplicated or joined to another.
func TestResumableStreamGoesOn(t *testing.T) {
	fx := newFixture(stream,
		returns(func() *Reply { return reply(200, errCut, event("1")+event("2"), "id: 3\nda") }),
		returns(func() *Reply { return ok(event("3"), event("4")) }))
	fx.route.Resumable = true
	c, refusal := fx.serve(t, newExchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.text.String(), event("1")+event("2")+event("3")+event("4"))
	assert.Equal(t, fx.endpoints.calls[1].LastEventID, "2")
	assert.Equal(t, c.begun, 1)
	assert.Assert(t, !c.aborted)
}

// A stream that may not run twice is broken off at the caller as well, so that it doesn't
// look complete.
func TestOtherStreamIsBrokenOff(t *testing.T) {
	for name, test := range map[string]struct {
		resumable bool
		answers   []answer
	}{
		"not resumable": {false, []answer{returns(func() *Reply { return reply(200, errCut, event("1")) })}},
		"resumed events come again": {true, []answer{
			returns(func() *Reply { return reply(200, errCut, event("1")+event("2")) }),
			returns(func() *Reply { return ok(event("2"), event("3")) }),
		}},
		"no endpoint resumes": {true, []answer{
			returns(func() *Reply { return reply(200, errCut, event("1")) }), returns(failure), returns(notRun), returns(notRun),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(stream, test.answers...)
			fx.route.Resumable = test.resumable
			c, refusal := fx.serve(t, newExchange())
			assert.Assert(t, refusal == nil)
			assert.Assert(t, c.aborted)
			assert.Assert(t, strings.HasPrefix(event("1")+event("2"), c.text.String()), c.text.String())
		})
	}
}

func TestEventSplitter(t *testing.T) {
	s := eventSplitter{}
	whole, id := s.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	assert.Equal(t, string(whole), "id: 1\ndata: a\n\n")
	assert.Equal(t, id, "1")
	s.discard(len(whole))
	assert.Assert(t, s.hasPartial())
	whole, id = s.add([]byte("ta: b\n\n"))
	assert.Equal(t, string(whole), "id: 2\ndata: b\n\n")
	assert.Equal(t, id, "2")
	s.discard(len(whole))
	assert.Assert(t, !s.hasPartial())
	assert.Equal(t, firstEventID([]byte("data: x\nid: 7\n\nid: 8\n\n")), "7")
	assert.Equal(t, lastEventID([]byte("data: x\n\n")), "")
	for _, test := range []struct {
		last, next string
		want       bool
	}{{"", "1", true}, {"1", "2", true}, {"9", "10", true}, {"2", "2", false}, {"3", "2", false}, {"a", "b", true}, {"a", "a", false}} {
		assert.Equal(t, mayFollow(test.last, test.next), test.want, "%q %q", test.last, test.next)
	}
}

// Guards against events that are held back until their stream ends, since their lines end
// with CRLF.
func TestEventsWithCRLF(t *testing.T) {
	s := eventSplitter{}
	whole, id := s.add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\n"))
	assert.Equal(t, string(whole), "id: 1\r\ndata: a\r\n\r\n")
	assert.Equal(t, id, "1")
	s.discard(len(whole))
	assert.Assert(t, s.hasPartial())
	whole, id = s.add([]byte("data: b\r\n\r\n"))
	assert.Equal(t, string(whole), "id: 2\r\ndata: b\r\n\r\n")
	assert.Equal(t, id, "2")
}

// A model server fails two seconds into a stream that may be resumed, long after the target
// for the first part. It continues at another server: whether the target was met at the
// beginning says nothing about the rest.
func TestStreamGoesOnLongAfterItsTarget(t *testing.T) {
	for name, first := range map[string]func() *Reply{
		"in its middle":         func() *Reply { return reply(200, errCut, event("1")) },
		"before its first part": func() *Reply { return reply(200, errCut) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := func(*Call) (*Reply, error) { time.Sleep(2 * time.Second); return first(), nil }
				fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), slow,
					returns(func() *Reply { return ok(event("2")) })).withModel()
				fx.route.Resumable = true
				c, refusal := fx.serve(t, newModelExchange())
				assert.Assert(t, refusal == nil)
				assert.Assert(t, !c.aborted)
				assert.Assert(t, strings.HasSuffix(c.text.String(), event("2")))
			})
		})
	}
}
