package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// firstRequestTimeout is how long a server that drains waits for the first request of a
	// connection, counted from its opening.
	firstRequestTimeout = 500 * time.Millisecond
	// backlogInterval is the pause between two looks at connections that wait to be accepted.
	backlogInterval = time.Millisecond
)

// Server is an HTTP server that can be drained. It is safe for concurrent use. Its lock is taken
// before that of a connection.
type Server struct {
	http *http.Server

	mu       sync.Mutex // guards the fields below
	listener *drainListener
	draining bool
	conns    map[*drainConn]struct{}
	left     chan struct{} // has an element when a connection has ended since the last look
}

// NewServer returns a Server that serves as another one, which must not be used by itself any more.
func NewServer(server *http.Server) *Server {
	s := &Server{http: server, conns: map[*drainConn]struct{}{}, left: make(chan struct{}, 1)}
	connState, connContext := server.ConnState, server.ConnContext
	server.Handler = s.announceEnd(server.Handler)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		conn := drainConnOf(c)
		s.recordState(c, conn, state)
		if connState != nil {
			connState(conn.Conn, state)
		}
	}
	if connContext != nil {
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return connContext(ctx, drainConnOf(c).Conn)
		}
	}
	return s
}

// Serve serves the connections of a listener until the server is drained or closed, and then
// returns nil. It is called once.
func (s *Server) Serve(listener net.Listener) error {
	tracked := newDrainListener(listener, s)
	s.mu.Lock()
	s.listener = tracked
	closed := s.draining
	s.mu.Unlock()
	if closed {
		return trace.Wrap(tracked.Close())
	}
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(tracked, "", "")
	} else {
		err = s.http.Serve(tracked)
	}
	if errors.Is(err, http.ErrServerClosed) || s.isDraining() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Close ends the server and all its connections at once.
func (s *Server) Close() error { return trace.Wrap(s.http.Close()) }

// Drain ends the server when each request that has arrived is answered: it takes the connections that
// wait to be accepted, closes the listener, and closes each connection that has no request. Responses
// ask their callers to close the connection. If ctx ends before, it closes the rest and returns
// the error of ctx.
//
// http.Server.Shutdown doesn't do: once it has begun, a request that is read gets no answer, and
// behind a process that gets no processor time it may have been sent long before.
func (s *Server) Drain(ctx context.Context) error {
	s.beginDraining()
	s.closeListener(ctx)
	for n := s.connCount(); n > 0; n = s.connCount() {
		select {
		case <-s.left:
		case <-ctx.Done():
			_ = s.http.Close() // it fails only on connections that have ended
			return trace.Wrap(ctx.Err(), "%d connections were cut off", n)
		}
	}
	// What is left are connections of HTTP/2, which tell their callers that they end.
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // ctx has ended
		return trace.Wrap(err)
	}
	return nil
}

func (s *Server) beginDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.conns {
		c.releaseInTime()
	}
}

// closeListener closes the listener when no connection waits to be accepted.
func (s *Server) closeListener(ctx context.Context) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	for isReadable(listener.Listener) && ctx.Err() == nil {
		time.Sleep(backlogInterval)
	}
	_ = listener.Close() // whatever it returns, nothing is accepted any more
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// add tracks a connection that was accepted.
func (s *Server) add(c *drainConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	if s.draining {
		c.releaseInTime()
	}
}

func (s *Server) remove(c *drainConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	select {
	case s.left <- struct{}{}:
	default:
	}
}

// recordState follows the state of a connection; c is conn or the TLS connection over it.
func (s *Server) recordState(c net.Conn, conn *drainConn, state http.ConnState) {
	switch state {
	case http.StateActive:
		if overTLS, ok := c.(*tls.Conn); ok && overTLS.ConnectionState().NegotiatedProtocol == "h2" {
			s.remove(conn)
		}
	case http.StateIdle:
		conn.awaitRequest()
		s.releaseIfDraining(conn)
	case http.StateClosed, http.StateHijacked:
		s.remove(conn)
	}
}

func (s *Server) releaseIfDraining(c *drainConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, tracked := s.conns[c]; tracked && s.draining {
		c.release()
	}
}

// announceEnd returns a handler whose responses ask callers to close the connection while the
// server drains.
func (s *Server) announceEnd(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
