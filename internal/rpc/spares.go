package rpc

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcpool"
)

// spares holds, for each address, at most one connection whose dial outlived
// the call that began it.
//
// Failure: on a busy machine or a slow link a handshake takes longer than the
// shortest calls may last, such as a lease renewal. Each call then throws its
// half-made connection away and the next begins anew, so that none ever
// succeeds; it shows as daemons that never become current, busy with
// handshakes. The guard holds because a dial goes on for dialTimeout whatever
// its call does, and the next call finds its connection.
type spares struct {
	mu      sync.Mutex
	closed  bool
	ready   map[string]drpcpool.Conn
	pending map[string]bool // a dial goes on without its call
}

func newSpares() *spares {
	return &spares{ready: make(map[string]drpcpool.Conn), pending: make(map[string]bool)}
}

// take gives the spare connection to address, nil when there is none alive.
func (s *spares) take(address string) drpcpool.Conn {
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

// begin tells whether a dial to address may go on without its call.
func (s *spares) begin(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.pending[address] || s.ready[address] != nil {
		return false
	}
	s.pending[address] = true
	return true
}

// end keeps what such a dial gave; conn is nil when it failed.
func (s *spares) end(address string, conn drpcpool.Conn) {
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

func (s *spares) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, conn := range s.ready {
		_ = conn.Close() // unused
	}
	clear(s.ready)
}

// dialled is what a dial gave.
type dialled struct {
	conn drpcpool.Conn
	err  error
}

// dial gives a connection for a call within ctx: a spare one or a new one.
func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	if conn := p.spares.take(address); conn != nil {
		return conn, nil
	}
	dialling, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	done := make(chan dialled, 1)
	go func() {
		conn, err := p.connect(dialling, address)
		done <- dialled{conn: conn, err: err}
	}()
	select {
	case d := <-done:
		cancel()
		return d.conn, d.err
	case <-ctx.Done():
		go p.outlive(address, done, cancel)
		return nil, trace.ConnectionProblem(ctx.Err(), "no connection in time to process at %s", address)
	}
}

// outlive waits for a dial whose call has ended, and keeps its connection
// unless another one is kept already.
func (p *Pool) outlive(address string, done <-chan dialled, cancel context.CancelFunc) {
	defer cancel()
	if p.spares.begin(address) {
		d := <-done
		p.spares.end(address, d.conn)
		return
	}
	cancel()
	if d := <-done; d.conn != nil {
		_ = d.conn.Close() // unused
	}
}
