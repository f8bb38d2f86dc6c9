package rpc

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcpool"
)

// spareConns holds, for each address, at most one connection whose dial finished
// after the call that started it had ended.
//
// It guards against the following failure: on a busy machine or a slow link a
// handshake takes longer than the shortest call timeouts, such as that of a lease
// renewal. If each call discarded its unfinished connection and the next started
// over, none would ever succeed, and daemons busy with handshakes would never
// become current. A dial therefore continues for dialTimeout even when its call
// ends, and the next call uses its connection.
type spareConns struct {
	mu      sync.Mutex
	closed  bool
	ready   map[string]drpcpool.Conn
	pending map[string]bool // a dial continues after its call ended
}

func newSpareConns() *spareConns {
	return &spareConns{ready: make(map[string]drpcpool.Conn), pending: make(map[string]bool)}
}

// take removes and returns the spare connection to address; nil if there is none
// or it is closed.
func (s *spareConns) take(address string) drpcpool.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.ready[address]
	delete(s.ready, address)
	if conn == nil {
		return nil
	}
	select {
	case <-conn.Closed():
		return nil
	default:
		return conn
	}
}

// reserve reports whether a dial to address may continue after its call ended, and
// marks it as pending if so.
func (s *spareConns) reserve(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.pending[address] || s.ready[address] != nil {
		return false
	}
	s.pending[address] = true
	return true
}

// finish ends a pending dial and keeps its connection; conn is nil if the dial failed.
func (s *spareConns) finish(address string, conn drpcpool.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, address)
	if conn == nil {
		return
	}
	if s.closed {
		_ = conn.Close() // unused
		return
	}
	s.ready[address] = conn
}

func (s *spareConns) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.ready {
		_ = conn.Close() // unused
	}
	clear(s.ready)
}

// dialResult is the result of a dial.
type dialResult struct {
	conn drpcpool.Conn
	err  error
}

// dial returns a connection for a call within ctx: a spare one or a new one.
func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	if conn := p.spares.take(address); conn != nil {
		return conn, nil
	}
	dialling, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	done := make(chan dialResult, 1)
	go func() {
		conn, err := p.connect(dialling, address)
		done <- dialResult{conn: conn, err: err}
	}()
	select {
	case d := <-done:
		cancel()
		return d.conn, d.err
	case <-ctx.Done():
		go p.finishDial(address, done, cancel)
		return nil, trace.ConnectionProblem(ctx.Err(), "no connection in time to process at %s", address)
	}
}

// finishDial waits for a dial whose call has ended and keeps its connection. If
// another dial or spare connection exists for address, it cancels the dial.
func (p *Pool) finishDial(address string, done <-chan dialResult, cancel context.CancelFunc) {
	defer cancel()
	if p.spares.reserve(address) {
		d := <-done
		p.spares.finish(address, d.conn)
		return
	}
	cancel()
	if d := <-done; d.conn != nil {
		_ = d.conn.Close() // unused
	}
}
