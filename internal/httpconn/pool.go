package httpconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The bounds of a Pool.
const (
	// idleLife is how long a connection is kept whose endpoint doesn't say how
	// long it keeps it.
	idleLife = 4 * time.Second
	// idleMargin is how long before the end of an endpoint's Keep-Alive a
	// connection is given up: a request that crosses the endpoint's close gets
	// no answer and can't be told from one that ran.
	idleMargin = 1200 * time.Millisecond
	// idlePerEndpoint bounds the idle connections to one address.
	idlePerEndpoint = 12
	// silence bounds how long sent bytes may stay unacknowledged: a machine
	// without power answers nothing, not even a reset.
	silence = 3 * time.Second
)

// Pool gives connections to endpoints, and keeps those that are idle.
type Pool struct {
	// DialTimeout bounds the opening of a connection. Endpoints are within
	// milliseconds; one whose packet was dropped is tried elsewhere sooner
	// than TCP would send it again.
	DialTimeout time.Duration
	// Opened, when set, is told of each connection that was opened.
	Opened func()

	mu   sync.Mutex // guards the fields below
	idle map[string][]*conn
	open map[string]map[*conn]bool // by address; in use or idle
}

// NewPool makes an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{DialTimeout: dialTimeout, idle: map[string][]*conn{}, open: map[string]map[*conn]bool{}}
}

// Do sends a request to address and gives the head of its answer, which the
// caller must Close. An error is a *Failure. fresh asks for a new connection.
func (p *Pool) Do(ctx context.Context, address string, r *Request, fresh bool) (*Response, error) {
	c := p.take(address, r.Tag, fresh)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, &Failure{Step: "dial", Cause: cause(ctx, err)}
		}
	}
	if ctx.Err() != nil {
		c.close()
		return nil, &Failure{Step: "dial", Cause: context.Cause(ctx)}
	}
	response, err := c.exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	response.pool = p
	return response, nil
}

// take gives the idle connection that was used last, if one is still usable.
func (p *Pool) take(address, tag string, fresh bool) *conn {
	if fresh {
		return nil
	}
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && (tag == "" || c.tag != tag) && c.quiet() {
			return c
		}
		c.close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) keep(c *conn, limit time.Duration) {
	life := idleLife
	if limit > 0 {
		life = limit - idleMargin
	}
	if life <= 0 {
		c.close()
		return
	}
	c.idleUntil = time.Now().Add(life)
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= idlePerEndpoint
	if !full {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// Sweep closes idle connections that are past their time, and forgets
// addresses without any.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         p.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control:         boundSilence,
	}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	c := newConn(raw, address)
	p.opened(c)
	return c, nil
}

func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
