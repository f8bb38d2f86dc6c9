package relay

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// closeDelimited returns a whole answer that ends with its connection.
func closeDelimited(parts ...string) *Reply {
	r := ok(parts...)
	r.CloseDelimited = true
	return r
}

// Guards against a broken-off stream that reaches its caller as complete: its endpoint ends in
// the middle of an event, and the answer has neither a length nor chunks.
func TestStreamBrokenInsideAnEvent(t *testing.T) {
	for name, test := range map[string]struct {
		parts    []string
		received string
	}{
		"in its middle":               {[]string{event("1") + "id: 2\nda"}, event("1")},
		"before the end of its lines": {[]string{event("1"), "id: 2\ndata: d2\n"}, event("1")},
		"in its first byte":           {[]string{event("1"), event("2"), "i"}, event("1") + event("2")},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(stream, returns(func() *Reply { return closeDelimited(test.parts...) }))
			c, refusal := fx.serve(t, newExchange())
			assert.Assert(t, refusal == nil)
			assert.Assert(t, c.aborted)
			assert.Equal(t, c.text.String(), test.received)
		})
	}
}

// Guards against an empty success: the endpoint ends after the head of a stream that has
// neither a length nor chunks.
func TestStreamBrokenBeforeItsFirstEvent(t *testing.T) {
	for name, parts := range map[string][]string{"no byte": nil, "inside the first event": {"id: 1\nda"}} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(stream, returns(func() *Reply { return closeDelimited(parts...) }))
			c, refusal := fx.serve(t, newExchange())
			assert.Equal(t, c.begun, 0)
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Verdict, VerdictUnknown)
			assert.Assert(t, fx.crashes.HasFindings(), "its endpoint may have crashed")
		})
	}
}

// A resumable stream that breaks inside an event is continued after its last whole event.
func TestStreamBrokenInsideAnEventGoesOn(t *testing.T) {
	fx := newFixture(stream,
		returns(func() *Reply { return closeDelimited(event("1") + "id: 2\nda") }),
		returns(func() *Reply { return closeDelimited(event("2"), event("3")) }))
	fx.route.Resumable = true
	c, refusal := fx.serve(t, newExchange())
	assert.Assert(t, refusal == nil)
	assert.Assert(t, !c.aborted)
	assert.Equal(t, c.text.String(), event("1")+event("2")+event("3"))
	assert.Equal(t, fx.endpoints.calls[1].LastEventID, "1")
}

// Whole streams are delivered to their last byte, however their end is told.
func TestWholeStreamIsDelivered(t *testing.T) {
	for name, r := range map[string]*Reply{
		"ends with its connection":                  closeDelimited(event("1"), event("2")),
		"ends with its connection after a newline":  closeDelimited(event("1"), "\n"),
		"ends by chunks":                            ok(event("1"), event("2")),
		"ends by chunks, with bytes after an event": ok(event("1"), "id: 2\ndata: d2"),
	} {
		t.Run(name, func(t *testing.T) {
			want := strings.Join(r.Body.(*body).parts, "")
			fx := newFixture(stream, returns(func() *Reply { return r }))
			c, refusal := fx.serve(t, newExchange())
			assert.Assert(t, refusal == nil)
			assert.Assert(t, !c.aborted)
			assert.Equal(t, c.text.String(), want)
		})
	}
}
