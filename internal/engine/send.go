package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"sync"
)

var errSealed = errors.New("request given up before its first byte")

// sendState is the state of one send of a request.
type sendState struct {
	target Target
	gate   Gate
	cancel context.CancelCauseFunc

	mu           sync.Mutex
	connected    bool
	reused       bool
	conn         *guardedConn
	writesBefore uint64 // on conn, before this send
	gateErr      error  // refusal by the gate; nil: none
}

// withTrace adds a hook that checks the gate after a connection was obtained and
// before the request is written to it.
//
// Failure: after the gate was checked, dialling takes a second or the process is
// frozen past its lease, and the request is sent although the team's zones have
// changed or another daemon has taken over. With a second check once there is a
// connection, only the write itself follows the check.
func (s *sendState) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sendState) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connected = true
	s.reused = info.Reused
	s.conn = guardedConnOf(info.Conn)
	if s.conn != nil {
		s.writesBefore = s.conn.writeCount()
	}
	err := s.checkGate()
	if err == nil {
		return
	}
	s.gateErr = err
	if s.conn != nil {
		s.conn.seal(s.writesBefore, err)
	}
	s.cancel(err)
}

func (s *sendState) checkGate() error {
	if s.gate == nil {
		return nil
	}
	if err := s.gate(s.target); err != nil {
		return fmt.Errorf("%w: %w", ErrGate, err)
	}
	return nil
}

// mayHaveSent reports, after a failure, whether a byte of the request may have been
// sent. Once it has returned false, none can be sent any more.
func (s *sendState) mayHaveSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.connected {
		return false
	}
	if s.conn == nil {
		return true
	}
	return !s.conn.seal(s.writesBefore, errSealed)
}

// metClosedConn reports whether a failed request, of which nothing was sent, got an
// idle connection that the endpoint had closed.
func (s *sendState) metClosedConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reused && s.gateErr == nil
}

func (s *sendState) gateError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateErr
}
