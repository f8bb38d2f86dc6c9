package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("request given up before its first byte")

// send is one try at sending one request.
type send struct {
	target Target
	gate   Gate
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	got     bool
	reused  bool
	conn    *guardedConn
	mark    uint64
	refused error
}

// trace adds the hook that asks the gate between having a connection and
// writing to it.
//
// Failure: the gate is asked, then dialling takes a second or the process is
// frozen past its lease, and the request leaves although the team's zones have
// changed or another daemon has taken over. Asking again with the connection
// in hand leaves only the write itself after the check.
func (s *send) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *send) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got = true
	s.reused = info.Reused
	s.conn = guardedFrom(info.Conn)
	if s.conn != nil {
		s.mark = s.conn.mark()
	}
	err := s.ask()
	if err == nil {
		return
	}
	s.refused = err
	if s.conn != nil {
		s.conn.seal(s.mark, err)
	}
	s.cancel(err)
}

func (s *send) ask() error {
	if s.gate == nil {
		return nil
	}
	if err := s.gate(s.target); err != nil {
		return fmt.Errorf("%w: %w", ErrGate, err)
	}
	return nil
}

// left tells, after a failure, whether a byte of the request may have left;
// when it gives false none can leave any more.
func (s *send) left() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.got {
		return false
	}
	if s.conn == nil {
		return true
	}
	return !s.conn.seal(s.mark, errSealed)
}

// stale tells whether a failed request, of which nothing has left, had met a
// kept connection that the endpoint had closed.
func (s *send) stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused && s.refused == nil
}

func (s *send) refusal() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}
