package relay

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

const (
	atMostOnce = routetable.KindAtMostOnce
	idempotent = routetable.KindIdempotent
	stream     = routetable.KindStream
)

func failure() *Reply { return reply(http.StatusInternalServerError, io.EOF, "broken") }

func cutOff() *Reply { return reply(http.StatusOK, errCut, "ha") }

func misfit() *Reply {
	r := notRun()
	r.Misfit = true
	return r
}

// What is sent again, by the route's kind: a slip that may have been booked is
// never sent twice, and one that was not is not lost for a full server.
func TestSentAgain(t *testing.T) {
	served := gives(func() *Reply { return ok("good") })
	for _, test := range []struct {
		name    string
		kind    routetable.Kind
		first   answer
		sends   int
		status  int // passed on; 0 for a refusal
		verdict Verdict
	}{
		{"served", atMostOnce, served, 1, 200, 0},
		{"full, once", atMostOnce, gives(notRun), 2, 200, 0},
		{"another incarnation, once", atMostOnce, gives(misfit), 2, 200, 0},
		{"unreachable, once", atMostOnce, fails(false), 2, 200, 0},
		{"lost, once", atMostOnce, fails(true), 1, 0, VerdictUnknown},
		{"failed, once", atMostOnce, gives(failure), 1, 500, 0},
		{"cut off, once", atMostOnce, gives(cutOff), 1, 0, VerdictUnknown},
		{"lost, idempotent", idempotent, fails(true), 2, 200, 0},
		{"failed, idempotent", idempotent, gives(failure), 2, 200, 0},
		{"cut off, idempotent", idempotent, gives(cutOff), 2, 200, 0},
		{"full, stream", stream, gives(notRun), 2, 200, 0},
		{"lost, stream", stream, fails(true), 1, 0, VerdictUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(test.kind, test.first, served)
			c, refusal := w.serve(t, exchange())
			assert.Equal(t, len(w.endpoints.calls), test.sends)
			assert.Equal(t, c.status, test.status)
			assert.Equal(t, refusal != nil, test.status == 0)
			if refusal != nil {
				assert.Equal(t, refusal.Verdict, test.verdict)
			}
			if test.sends == 2 {
				assert.Assert(t, w.endpoints.calls[0].Endpoint.ID != w.endpoints.calls[1].Endpoint.ID)
			}
		})
	}
}

// The last attempt's failure is the endpoint's own and passed on unchanged.
func TestLastFailureIsPassedOn(t *testing.T) {
	w := newWorld(idempotent, gives(failure), gives(failure), gives(func() *Reply { return ok() }))
	c, refusal := w.serve(t, exchange())
	assert.Assert(t, refusal == nil)
	assert.Equal(t, c.status, 500)
	assert.Equal(t, c.text.String(), "broken")
	assert.Equal(t, len(w.endpoints.calls), 2)
}

// Every server is full: the caller is told that nothing ran and when to come
// again, and the fleet's budget for second sends is kept.
func TestRefusalSaysWhenToComeAgain(t *testing.T) {
	w := newWorld(atMostOnce, gives(notRun), gives(notRun), gives(notRun), gives(notRun))
	_, refusal := w.serve(t, exchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	for w.budget.Spend(time.Now(), "s") {
	}
	w.endpoints.calls, w.endpoints.answers = nil, []answer{gives(notRun), gives(notRun)}
	_, refusal = w.serve(t, exchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun)
	assert.Equal(t, len(w.endpoints.calls), 1)
}

func TestNotServed(t *testing.T) {
	w := newWorld(idempotent)
	elsewhere := exchange()
	elsewhere.Path = "/q/"
	_, refusal := w.serve(t, elsewhere)
	assert.Equal(t, refusal.Verdict, VerdictNoRoute)
	large := exchange()
	large.Body = make([]byte, 101)
	_, refusal = w.serve(t, large)
	assert.Equal(t, refusal.Verdict, VerdictTooLarge)
	w.view.Endpoints = nil
	_, refusal = w.serve(t, exchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun)
	w.view = &View{}
	_, refusal = w.serve(t, exchange())
	assert.Equal(t, refusal.Verdict, VerdictNotRun, "an entry that knows no configuration must not say that there is no route")
}

func event(id string) string { return "id: " + id + "\ndata: d" + id + "\n\n" }

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

// The caller leaves: nothing is sent any more, and the endpoint is told.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(stream, gives(func() *Reply { return reply(200, errCut, event("1"), event("2")) }))
	w.route.Resumable = true
	ctx, cancel := context.WithCancel(t.Context())
	c := &caller{leave: cancel}
	w.router.Serve(ctx, exchange(), c)
	assert.Equal(t, len(w.endpoints.calls), 1)
}

// A long answer is passed on as it comes; one that is cut off then is broken
// off, not ended.
func TestLongAnswer(t *testing.T) {
	part := strings.Repeat("x", wholeBody)
	for _, end := range []error{io.EOF, errCut} {
		w := newWorld(atMostOnce, gives(func() *Reply { return reply(200, end, part, part, "end") }))
		c, refusal := w.serve(t, exchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.aborted, end == errCut)
		assert.Assert(t, c.text.Len() > wholeBody)
		assert.Assert(t, end != io.EOF || c.text.Len() == 2*wholeBody+len("end"))
	}
}

func TestTimeLeftIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(*Call) (*Reply, error) {
			time.Sleep(2 * time.Second)
			return nil, &SendError{Sent: true, Cause: errCut}
		}
		w := newWorld(idempotent, slow, gives(func() *Reply { return ok() }))
		_, refusal := w.serve(t, exchange())
		assert.Assert(t, refusal == nil)
		first, second := w.endpoints.calls[0].TimeLeft, w.endpoints.calls[1].TimeLeft
		assert.Assert(t, first < 5*time.Second && first > 4900*time.Millisecond, "%v", first)
		assert.Equal(t, first-second, 2*time.Second)
	})
}

// The final answer comes at the route's timeout, not when the endpoint ends.
func TestFinalAnswerAtTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(idempotent)
		w.route.Timeout = time.Second
		w.router.options.Endpoints = &hanging{fakes: w.endpoints}
		began := time.Now()
		_, refusal := w.serve(t, exchange())
		assert.Equal(t, refusal.Verdict, VerdictTimeout)
		assert.Assert(t, time.Since(began) <= time.Second)
	})
}

// hanging endpoints take a call and never answer.
type hanging struct{ *fakes }

func (h *hanging) Send(ctx context.Context, c *Call) (*Reply, error) {
	<-ctx.Done()
	return nil, &SendError{Sent: true, Cause: context.Cause(ctx)}
}

// A prompt is read elsewhere only once memory is set aside for the whole run,
// and its result goes with the request.
func TestMemoryBeforePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, gives(func() *Reply { return ok("{}") }), gives(func() *Reply { return ok(event("1")) })).model()
		w.endpoints.rooms = []error{ErrNoRoom, ErrNoRoom, ErrNoRoom, ErrNoRoom}
		_, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(w.endpoints.calls), 2)
		prefill, run := w.endpoints.calls[0], w.endpoints.calls[1]
		assert.Assert(t, prefill.Prefill && prefill.Endpoint.Stage == dispatch.StagePrefill)
		assert.Equal(t, run.Hold, "hold1")
		assert.Equal(t, run.Source.Handle, "handle")
	})
}

// There is no memory for seconds: the request is refused before its caller
// leaves, nothing was read for it, and it is told when to come again.
func TestNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream).model()
		for range 10000 {
			w.endpoints.rooms = append(w.endpoints.rooms, ErrNoRoom)
		}
		began := time.Now()
		_, refusal := w.serve(t, modelExchange())
		assert.Equal(t, refusal.Verdict, VerdictNotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, len(w.endpoints.calls), 0)
		assert.Assert(t, time.Since(began) < 4*w.route.Target, "the caller has left by then")
	})
}

// The endpoint that should take a prefill's result can't be reached: the next
// one gets it, and the prompt is not read again.
func TestPrefillIsKeptForTheNextEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, gives(func() *Reply { return ok("{}") }), fails(false), gives(func() *Reply { return ok(event("1")) })).model()
		_, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(w.endpoints.calls), 3)
		assert.Equal(t, w.endpoints.calls[2].Source.Handle, "handle")
		assert.Equal(t, w.endpoints.calls[2].Hold, "hold2")
	})
}

// The prefill fails: the prompt is read where the answer is generated, since a
// second prefill would be an extra arrival.
func TestPrefillFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(stream, fails(true), gives(func() *Reply { return ok(event("1")) })).model()
		_, refusal := w.serve(t, modelExchange())
		assert.Assert(t, refusal == nil)
		assert.Equal(t, len(w.endpoints.calls), 2)
		assert.Assert(t, w.endpoints.calls[1].Source == nil)
	})
}

// A caller that is turned away comes again when a burst is over, not at once,
// and those turned away together don't come together.
func TestRetryAfter(t *testing.T) {
	assert.Equal(t, retryAfter(0, 0.5), comeAgain)
	first, last := retryAfter(14*time.Second, 0), retryAfter(14*time.Second, 0.999)
	assert.Equal(t, first, 2520*time.Millisecond)
	assert.Assert(t, last > 4500*time.Millisecond && last < 14*time.Second/3, "callers heed a third of their patience")
}

// silentFirst endpoints don't answer the first call of a kind.
type silentFirst struct {
	*fakes
	reserve, prefill, run bool
}

func (s *silentFirst) Reserve(ctx context.Context, e *dispatch.Endpoint, tokens int, life time.Duration) (string, error) {
	if s.reserve {
		s.reserve = false
		<-ctx.Done()
		return "", &SendError{Sent: true, Cause: context.Cause(ctx)}
	}
	return s.fakes.Reserve(ctx, e, tokens, life)
}

func (s *silentFirst) Send(ctx context.Context, c *Call) (*Reply, error) {
	if c.Prefill && s.prefill || !c.Prefill && s.run {
		s.prefill, s.run = s.prefill && !c.Prefill, s.run && c.Prefill
		<-ctx.Done()
		return nil, &SendError{Sent: true, Cause: context.Cause(ctx)}
	}
	return s.fakes.Send(ctx, c)
}

// An endpoint is frozen or cut off without a reset: it takes a call and says
// nothing. The request must not wait there until its caller has left.
func TestSilentEndpointIsLeft(t *testing.T) {
	served := gives(func() *Reply { return ok(event("1")) })
	for name, test := range map[string]struct {
		silent silentFirst
		within time.Duration
	}{
		"asked for memory": {silentFirst{reserve: true}, 250 * time.Millisecond},
		"reads a prompt":   {silentFirst{prefill: true}, 1500 * time.Millisecond},
		"idempotent call":  {silentFirst{run: true}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(idempotent, served)
				x := exchange()
				if !test.silent.run {
					w, x = newWorld(stream, served).model(), modelExchange()
				}
				if test.silent.reserve {
					w.endpoints.answers = []answer{gives(func() *Reply { return ok("{}") }), served}
				}
				test.silent.fakes = w.endpoints
				w.router.options.Endpoints = &test.silent
				began := time.Now()
				c, refusal := w.serve(t, x)
				assert.Assert(t, refusal == nil)
				assert.Equal(t, c.text.String(), event("1"))
				assert.Assert(t, time.Since(began) < test.within, "%v", time.Since(began))
			})
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

// A caller was turned away once and comes back with five seconds left. An answer
// of nine seconds would be cut off in the middle of it: it is told so at once,
// without a prompt read or room taken. One of two seconds is served.
func TestAnswerThatCannotEndInTimeIsNotBegun(t *testing.T) {
	for _, test := range []struct {
		estimate int
		served   bool
	}{{3000, false}, {600, true}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(stream, gives(func() *Reply { return ok("{}") }), gives(func() *Reply { return ok(event("1")) })).model()
			x := modelExchange()
			x.Patience = 5 * time.Second
			x.Prompt.MaxOutput, x.Prompt.LikelyOut = 3000, test.estimate
			began := time.Now()
			_, refusal := w.serve(t, x)
			assert.Equal(t, refusal == nil, test.served)
			assert.Equal(t, time.Since(began), time.Duration(0))
			if !test.served {
				assert.Equal(t, refusal.Verdict, VerdictNotRun)
				assert.Equal(t, len(w.endpoints.calls)+w.endpoints.reserved, 0)
			}
		})
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
