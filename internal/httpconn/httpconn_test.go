package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedEndpoint is an endpoint whose connections are handled by a test's function.
type scriptedEndpoint struct {
	t        *testing.T
	listener net.Listener
	requests chan string // IDs of the received requests, in order
}

func serve(t *testing.T, handle func(s *scriptedEndpoint, n int, c net.Conn)) *scriptedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedEndpoint{t: t, listener: listener, requests: make(chan string, 100)}
	go func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(s, n, c)
			}()
		}
	}()
	return s
}

func (s *scriptedEndpoint) address() string { return s.listener.Addr().String() }

// read reads the next request of a connection; ok is false at the end of the connection.
func (s *scriptedEndpoint) read(r *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id = request.Header.Get("Id")
	s.requests <- id
	return id, true
}

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "h.example", Header: http.Header{"Id": {id}}, Tag: id,
		Body:    []byte("body of " + id),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

func newTestPool(t *testing.T) *Pool {
	p := NewPool(time.Second)
	t.Cleanup(func() { p.CloseExpired(time.Now().Add(time.Hour)) })
	return p
}

// sendAndRead sends a request and reads its whole response body.
func sendAndRead(t *testing.T, p *Pool, s *scriptedEndpoint, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	response, err := p.Do(ctx, s.address(), request(id), false)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func echo(s *scriptedEndpoint, _ int, c net.Conn) {
	r := bufio.NewReader(c)
	for {
		id, ok := s.read(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, responseText(id, "for "+id))
	}
}

func TestConnectionIsKept(t *testing.T) {
	opened := 0
	s := serve(t, echo)
	p := newTestPool(t)
	p.OnDial = func() { opened++ }
	for n := range 5 {
		body, err := sendAndRead(t, p, s, fmt.Sprint(n))
		assert.NilError(t, err)
		assert.Equal(t, body, fmt.Sprint("for ", n))
	}
	assert.Equal(t, opened, 1)
}

// Guards against returning another request's response: the endpoint answers an
// earlier request twice, and the second response precedes that of the next request.
func TestStrayResponseIsSkipped(t *testing.T) {
	s := serve(t, func(s *scriptedEndpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		first, _ := s.read(r)
		_, _ = io.WriteString(c, responseText(first, "for "+first))
		second, ok := s.read(r)
		if ok {
			_, _ = io.WriteString(c, responseText(first, "again")+responseText(second, "for "+second))
		}
		_, _ = s.read(r)
	})
	p := newTestPool(t)
	for _, id := range []string{"a", "b"} {
		body, err := sendAndRead(t, p, s, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "for "+id)
	}
}

// An endpoint sends bytes after a complete response. The next request would take
// them for its own response, so it must use a new connection.
func TestSurplusBytesCloseTheConnection(t *testing.T) {
	sent := make(chan struct{})
	s := serve(t, func(s *scriptedEndpoint, n int, c net.Conn) {
		if n > 0 {
			echo(s, n, c)
			return
		}
		r := bufio.NewReader(c)
		id, _ := s.read(r)
		_, _ = io.WriteString(c, responseText(id, "for "+id))
		_, _ = io.WriteString(c, responseText("a", "surplus"))
		close(sent)
		_, _ = s.read(r)
	})
	p := newTestPool(t)
	_, err := sendAndRead(t, p, s, "a")
	assert.NilError(t, err)
	<-sent
	body, err := sendAndRead(t, p, s, "b")
	assert.NilError(t, err)
	assert.Equal(t, body, "for b")
}

// Guards against running a request twice: the endpoint closes a persistent connection
// after it received the request, and the client retries by itself.
func TestNothingIsSentTwice(t *testing.T) {
	s := serve(t, func(s *scriptedEndpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		id, _ := s.read(r)
		_, _ = io.WriteString(c, responseText(id, "for "+id))
		_, _ = s.read(r) // and closes without a response
	})
	p := newTestPool(t)
	_, err := sendAndRead(t, p, s, "a")
	assert.NilError(t, err)
	_, err = sendAndRead(t, p, s, "b")
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent && failure.Reused, "%v", failure)
	assert.Equal(t, <-s.requests, "a")
	assert.Equal(t, <-s.requests, "b")
	assert.Equal(t, len(s.requests), 0)
}

// A persistent connection that the endpoint has closed is detected before any byte of
// the next request is sent, so that even a request that must not run twice can use
// a new connection.
func TestClosedConnectionIsFoundBeforeTheSend(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(s *scriptedEndpoint, n int, c net.Conn) {
		if n > 0 {
			echo(s, n, c)
			return
		}
		id, _ := s.read(bufio.NewReader(c))
		_, _ = io.WriteString(c, responseText(id, "for "+id))
		_ = c.Close()
		close(closed)
	})
	p := newTestPool(t)
	_, err := sendAndRead(t, p, s, "a")
	assert.NilError(t, err)
	<-closed
	body, err := sendAndRead(t, p, s, "b")
	assert.NilError(t, err)
	assert.Equal(t, body, "for b")
}

// A truncated response must not look complete, however its length is indicated.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for name, test := range map[string]struct {
		head  string
		reset bool
		whole bool
	}{
		"length":            {head: "Content-Length: 100\r\n"},
		"chunks":            {head: "Transfer-Encoding: chunked\r\n"},
		"no length, closed": {whole: true},
		"no length, reset":  {reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			headRead := make(chan struct{})
			s := serve(t, func(s *scriptedEndpoint, _ int, c net.Conn) {
				id, _ := s.read(bufio.NewReader(c))
				body := "half"
				if strings.Contains(test.head, "chunked") {
					body = "4\r\nhalf\r\n"
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+test.head+"\r\n"+body)
				<-headRead // a reset before that would discard the header
				if test.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			p := newTestPool(t)
			response, err := p.Do(t.Context(), s.address(), request("a"), false)
			assert.NilError(t, err)
			close(headRead)
			body, err := io.ReadAll(response)
			response.Close()
			assert.Equal(t, err == nil, test.whole, "%q: %v", body, err)
			assert.Assert(t, strings.HasPrefix("half", string(body)))
			assert.Equal(t, len(p.idle[s.address()]), 0)
		})
	}
}

// An endpoint responds before it has read a long body. The connection must not be
// reused, since the rest of the body is still to be sent on it.
func TestEarlyAnswer(t *testing.T) {
	const bodyBytes = 64 << 20 // more than the buffers of both ends hold
	read := make(chan struct{})
	s := serve(t, func(s *scriptedEndpoint, n int, c net.Conn) {
		if n > 0 {
			echo(s, n, c)
			return
		}
		r := bufio.NewReader(c)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responseText(request.Header.Get("Id"), "early"))
		<-read
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = s.read(r)
	})
	p := newTestPool(t)
	long := request("a")
	long.Body = make([]byte, bodyBytes)
	response, err := p.Do(t.Context(), s.address(), long, false)
	assert.NilError(t, err)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "early")
	response.Close()
	close(read)
	again, err := sendAndRead(t, p, s, "b")
	assert.NilError(t, err)
	assert.Equal(t, again, "for b")
}

// When the caller cancels while the endpoint works, the connection is closed so that
// the endpoint can stop.
func TestCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan error, 1)
	s := serve(t, func(s *scriptedEndpoint, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		_, _ = s.read(r)
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("the caller cancelled")
	go func() {
		<-s.requests
		cancel(cause)
	}()
	_, err := newTestPool(t).Do(ctx, s.address(), request("a"), false)
	assert.ErrorIs(t, err, cause)
	assert.Assert(t, <-closed != nil)
}

func TestConnectionNearIdleTimeoutIsNotReused(t *testing.T) {
	for limit, used := range map[time.Duration]bool{0: true, time.Second: false, 30 * time.Second: true} {
		p := NewPool(time.Second)
		client, server := net.Pipe()
		p.putIdle(newConn(client, "a", nil, nil), limit)
		assert.Equal(t, p.takeIdle("a", "t", false) != nil, used, "%v", limit)
		_, _ = client.Close(), server.Close()
	}
	header := http.Header{"Keep-Alive": {"max=5, timeout=7"}}
	assert.Equal(t, keepAliveTimeout(header), 7*time.Second)
}

// Both parts of one attempt must not share a connection: a second response to
// the first part would match the second part.
func TestSameTagTakesANewConnection(t *testing.T) {
	opened := 0
	s := serve(t, echo)
	p := newTestPool(t)
	p.OnDial = func() { opened++ }
	for range 2 {
		_, err := sendAndRead(t, p, s, "a")
		assert.NilError(t, err)
	}
	assert.Equal(t, opened, 2)
}

func TestDialFailureIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newTestPool(t).Do(t.Context(), address, request("a"), false)
	var failure *Failure
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
}
