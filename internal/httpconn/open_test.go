package httpconn

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against taking a connection that an endpoint has closed for the crash of its
// process, and the other way round: idle connections and those in use tell.
func TestOtherConnectionsTellWhetherAnEndpointLives(t *testing.T) {
	ends := make(chan struct{})
	s := serve(t, func(s *script, n int, c net.Conn) {
		if n == 0 {
			echo(s, n, c)
			return
		}
		_, _ = s.read(bufio.NewReader(c))
		<-ends // without an answer
	})
	p := pool(t)
	assert.Assert(t, !p.HasOpen(s.address(), time.Now()))
	_, err := whole(t, p, s, "a")
	assert.NilError(t, err)
	assert.Assert(t, p.HasOpen(s.address(), time.Now()), "an idle one")
	assert.Assert(t, !p.HasOpen(s.address(), time.Now().Add(-time.Minute)), "none is that old")
	<-s.requests

	failed := make(chan error, 1)
	go func() {
		_, err := p.Do(context.Background(), s.address(), request("b"), true)
		failed <- err
	}()
	<-s.requests
	p.Sweep(time.Now().Add(time.Hour))
	assert.Assert(t, p.HasOpen(s.address(), time.Now()), "one in use")
	close(ends)
	assert.Assert(t, <-failed != nil)
	assert.Assert(t, !p.HasOpen(s.address(), time.Now()))
	assert.Equal(t, len(p.open), 0)
}

// Guards against an idle connection that counts as open after the other end has closed it.
func TestIdleConnectionThatHasEndedIsNotOpen(t *testing.T) {
	closed := make(chan struct{})
	s := serve(t, func(s *script, _ int, c net.Conn) {
		r := bufio.NewReader(c)
		id, _ := s.read(r)
		_, _ = c.Write([]byte(answer(id, "whole")))
		<-closed
	})
	p := pool(t)
	_, err := whole(t, p, s, "a")
	assert.NilError(t, err)
	assert.Assert(t, p.HasOpen(s.address(), time.Now()))
	close(closed)
	for began := time.Now(); p.HasOpen(s.address(), time.Now()); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second)
	}
}
