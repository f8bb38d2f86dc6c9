package engine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"gotest.tools/v3/assert"
)

// An endpoint closes an idle connection just as a call arrives, and may have run
// the call. net/http would resend a call without a body, or one with an
// Idempotency-Key, and it would run twice. The caller must get an error, and the
// endpoint the call once.
func TestClosedConnectionCausesNoResend(t *testing.T) {
	for _, test := range []struct{ method, body, key string }{
		{http.MethodGet, "", ""},
		{http.MethodHead, "", ""},
		{http.MethodOptions, "", ""},
		{http.MethodDelete, "", "slip-1"},
		{http.MethodPost, "", "slip-1"},
		{http.MethodPost, "slip", "slip-1"},
	} {
		t.Run(test.method+test.body, func(t *testing.T) {
			target, seen := closingServer(t, "ok")
			client := NewClient(Options{})
			first, err := client.Call(t.Context(), target, allowAll, testAttempt, callerRequest(t, "POST", "/warm", "x"))
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			first.Body.Close()

			request := callerRequest(t, test.method, "/slips", test.body)
			if test.key != "" {
				request.Header.Set("Idempotency-Key", test.key)
			}
			response, err := client.Call(t.Context(), target, allowAll, testAttempt, request)
			if err == nil {
				response.Body.Close()
			}
			var failure *Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Assert(t, failure.Sent)
			assert.Equal(t, seen.count(), 2)
		})
	}
}

func TestClosedConnectionCausesNoRepeatedRead(t *testing.T) {
	target, seen := closingServer(t, `{"incarnation":4}`)
	client := NewClient(Options{})
	_, err := client.Held(t.Context(), target)
	assert.NilError(t, err)
	_, err = client.Held(t.Context(), target)
	assert.Assert(t, err != nil)
	assert.Equal(t, seen.count(), 2)
}

// The team's permitted zones are reduced, or the daemon loses its lease, between
// the choice of an endpoint and the send. Nothing may reach the endpoint, and the
// error must say that nothing was sent.
func TestGateRefusesBeforeTheSend(t *testing.T) {
	for name, allowed := range map[string]int{"before dialling": 0, "with the connection in hand": 1} {
		t.Run(name, func(t *testing.T) {
			seen := &requestLog{}
			target := serve(t, func(_ http.ResponseWriter, r *http.Request) { seen.add(r.URL.Path) })
			asked := 0
			gate := func(Target) error {
				asked++
				if asked > allowed {
					return errors.New("zone not permitted")
				}
				return nil
			}
			client := NewClient(Options{})
			_, prefill := client.Prefill(t.Context(), target, gate, engineapi.PrefillRequest{Prompt: "secret"})
			asked = 0
			_, decode := client.Decode(t.Context(), target, gate, decodeRequest())
			asked = 0
			_, call := client.Call(t.Context(), target, gate, testAttempt, callerRequest(t, "POST", "/x", "secret"))
			for _, err := range []error{prefill, decode, call} {
				var failure *Error
				assert.Assert(t, errors.As(err, &failure))
				assert.ErrorIs(t, err, ErrGate)
				assert.Assert(t, !failure.Sent)
			}
			assert.Equal(t, seen.count(), 0)
		})
	}
}

func TestUnreachableEndpointCountsAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := targetAt(listener.Addr().String())
	listener.Close()
	_, err = NewClient(Options{}).Prefill(t.Context(), target, allowAll, engineapi.PrefillRequest{})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
}

// An endpoint reads the request and dies: it may have run the request.
func TestRequestThatLeftCountsAsSent(t *testing.T) {
	target := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := NewClient(Options{}).Prefill(t.Context(), target, allowAll, engineapi.PrefillRequest{})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
}

// A context ends before net/http's writing goroutine writes the request. Once the
// request has been reported as not sent, the connection must refuse that write, or
// the request would run nevertheless.
func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &guardedConn{Conn: near}
	count := conn.writeCount()
	assert.Assert(t, conn.seal(count, errSealed))
	_, err := conn.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)
}

func TestConnectionInUseIsNotSealed(t *testing.T) {
	near, far := net.Pipe()
	conn := &guardedConn{Conn: near}
	count := conn.writeCount()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	_, err := conn.Write([]byte("first"))
	assert.NilError(t, err)
	assert.Assert(t, !conn.seal(count, errSealed))
}

// An endpoint accepts the connection and never answers.
func TestHangingEndpointTimesOut(t *testing.T) {
	target := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	client := NewClient(Options{DecodeHeaderTimeout: 1, ReadTimeout: 1, CallHeaderTimeout: 1})
	_, err := client.Decode(t.Context(), target, allowAll, decodeRequest())
	assert.ErrorIs(t, err, ErrIdleTimeout)
	_, err = client.Held(t.Context(), target)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = client.Call(t.Context(), target, allowAll, testAttempt, callerRequest(t, "POST", "/x", "x"))
	assert.ErrorIs(t, err, ErrIdleTimeout)
}

// Over TLS the transport's connection wraps the guarded one. The gate must still
// be able to block writes.
func TestGateBlocksTLSConnections(t *testing.T) {
	seen := &requestLog{}
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.add(r.URL.Path)
		_, _ = io.WriteString(w, `{"incarnation":4}`)
	}))
	t.Cleanup(server.Close)
	target := targetAt(server.Listener.Addr().String())
	client := NewClient(Options{TLS: server.Client().Transport.(*http.Transport).TLSClientConfig})
	_, err := client.Held(t.Context(), target)
	assert.NilError(t, err)
	asked := 0
	gate := func(Target) error {
		if asked++; asked > 1 {
			return errors.New("zone not permitted")
		}
		return nil
	}
	_, err = client.Prefill(t.Context(), target, gate, engineapi.PrefillRequest{Prompt: "secret"})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure))
	assert.ErrorIs(t, err, ErrGate)
	assert.Assert(t, !failure.Sent)
	assert.Equal(t, seen.count(), 1)
}
