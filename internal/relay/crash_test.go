package relay

import (
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// Guards against a request that takes down one endpoint after another: each endpoint that
// begins to run it ends, and its caller sends it again and again.
func TestRequestThatCrashesEndpointsIsLeftAlone(t *testing.T) {
	const borne = 3
	var crashes []answer
	for range 20 {
		crashes = append(crashes, func(*Call) (*Reply, error) { return nil, &SendError{Sent: true, Cause: io.EOF} })
	}
	w := newWorld(idempotent, crashes...)
	for range 10 {
		_, _ = w.serve(t, exchange())
	}
	assert.Assert(t, len(w.endpoints.calls) <= borne, "%d endpoints were taken down", len(w.endpoints.calls))
}

// crash is how an endpoint ends a request that takes it down.
func crash(*Call) (*Reply, error) { return nil, &SendError{Sent: true, Cause: syscall.ECONNRESET} }

// Guards against a refusal that promises what isn't true: the request was sent before it
// was found out.
func TestQuarantinedAfterItRanIsNotCalledUnrun(t *testing.T) {
	w := newWorld(idempotent, crash, crash, crash, crash)
	_, first := w.serve(t, exchange())
	assert.Equal(t, first.Verdict, VerdictUnknown)
	_, second := w.serve(t, exchange())
	assert.Equal(t, second.Verdict, VerdictUnknown, "%s", second.Reason)
	assert.Equal(t, len(w.endpoints.calls), 3)
	_, third := w.serve(t, exchange())
	assert.Equal(t, third.Verdict, VerdictNotRun)
	assert.Equal(t, third.RetryAfter, time.Hour)
	assert.Equal(t, len(w.endpoints.calls), 3)
}

// Guards against taking neighbours for the request that crashes endpoints, and one caller's
// or one body for another's.
func TestOtherRequestsGoOn(t *testing.T) {
	w := newWorld(idempotent, crash, crash, crash)
	for range 3 {
		_, _ = w.serve(t, exchange())
	}
	others := map[string]func(x *Exchange){
		"path": func(x *Exchange) { x.Target = "/p/2" },
		"body": func(x *Exchange) { x.Body = []byte("b") },
		"key":  func(x *Exchange) { x.Key = keyhash.Of("another") },
	}
	for name, change := range others {
		w.endpoints.answers = []answer{gives(func() *Reply { return ok("whole") })}
		x := exchange()
		change(x)
		_, refusal := w.serve(t, x)
		assert.Assert(t, refusal == nil, "%s", name)
	}
}

// Guards against refusing a request after three lost answers of endpoints that go on, and
// against sending it for ever: they may end without closing their other connections.
func TestLostAnswersCountLessThanCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(idempotent, slices.Repeat([]answer{crash}, 20)...)
		w.endpoints.keepOpen(true)
		for range 5 {
			_, _ = w.serve(t, exchange())
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, len(w.endpoints.calls), 6, "five losses in a row are borne")
	})
}

// Guards against missing the crash of an endpoint whose process takes a while to end after
// it has closed the connection of the request.
func TestCrashThatTakesAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(idempotent, slices.Repeat([]answer{crash}, 20)...)
		for range 5 {
			w.endpoints.keepOpen(true)
			_, _ = w.serve(t, exchange())
			time.Sleep(300 * time.Millisecond)
			w.endpoints.keepOpen(false)
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, len(w.endpoints.calls), 4, "two attempts of two sends each")
	})
}

// Guards against refusing a request that was answered since: its losses were its
// neighbours'.
func TestAnsweredRequestIsNotRefused(t *testing.T) {
	whole := gives(func() *Reply { return ok("whole") })
	w := newWorld(idempotent, crash, whole, crash, whole, crash, whole, crash, whole)
	for range 4 {
		_, refusal := w.serve(t, exchange())
		assert.Assert(t, refusal == nil)
	}
}

// Guards against taking a stream for what crashes endpoints that had begun to answer it:
// it runs on endpoints for long, and is there when they die.
func TestStreamThatHadBegunIsNoSuspect(t *testing.T) {
	begun := func() *Reply { return reply(http.StatusOK, io.ErrUnexpectedEOF, "id: 1\ndata: 1\n\n") }
	w := newWorld(routetable.KindStream, slices.Repeat([]answer{gives(begun)}, 10)...)
	for range 5 {
		_, _ = w.serve(t, exchange())
	}
	assert.Equal(t, len(w.endpoints.calls), 5)
	assert.Assert(t, !w.findings.Watches())
}

// Guards against a prompt that takes down the endpoints that read it for others.
func TestPromptThatCrashesReadersIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(routetable.KindStream, slices.Repeat([]answer{crash}, 20)...).model()
		for range 5 {
			_, _ = w.serve(t, modelExchange())
			time.Sleep(time.Second)
		}
		synctest.Wait()
		assert.Equal(t, len(w.endpoints.calls), 3)
		assert.Assert(t, w.endpoints.calls[2].Prefill, "the second exchange ends with its prefill")
		assert.Equal(t, w.endpoints.reserved, 2)
		assert.Equal(t, len(w.endpoints.dropped), 1, "room is given back where nothing was sent")
	})
}

// The switch: off, nothing is refused or looked at.
func TestWithoutQuarantine(t *testing.T) {
	w := newWorld(idempotent, slices.Repeat([]answer{crash}, 20)...)
	policy, err := dispatch.Without(dispatch.Quarantine)
	assert.NilError(t, err)
	w.router.options.Policy = policy
	for range 5 {
		_, _ = w.serve(t, exchange())
	}
	assert.Equal(t, len(w.endpoints.calls), 10)
	assert.Equal(t, w.findings.losses.Len(), 0)
}
