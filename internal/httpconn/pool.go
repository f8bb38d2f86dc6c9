package httpconn

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/hyssopsail/hyssopsail/internal/tcpdial"
)

// Limits of a Pool.
const (
	// defaultIdleTimeout is how long an idle connection is kept when the endpoint
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is how long before the endpoint's Keep-Alive timeout a
	// connection is dropped: a request that crosses the endpoint's close gets
	// no response and can't be distinguished from one that ran.
	keepAliveMargin = 1200 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 12
)

// Pool opens connections to endpoints and keeps idle ones for reuse. It is safe for
// concurrent use.
type Pool struct {
	// DialTimeout bounds the opening of a connection. Endpoints are milliseconds
	// away; when a packet is dropped, another endpoint is tried sooner than TCP
	// would retransmit.
	DialTimeout time.Duration
	// OnDial, if set, is called for each connection that was opened.
	OnDial func()
	// LocalIP is the source address of connections; nil: chosen by the kernel.
	LocalIP net.IP
	// Reachability records what the connections show of the links to endpoints.
	Reachability *reachability.Tracker
	// Reads bounds and records what is read from endpoints; nil for no bound on its memory.
	Reads *readlimit.Guard
	// MaxBodyBytes bounds the body of a response. A longer one fails: before it is read where
	// the head tells its length.
	MaxBodyBytes int64
	// Relay opens connections over lost links; nil for none.
	Relay reachability.Relay

	mu   sync.Mutex // guards the fields below
	idle map[string][]*conn
	open map[string]map[*conn]bool // by address; in use or idle
}

// NewPool returns an empty pool.
func NewPool(dialTimeout time.Duration) *Pool {
	return &Pool{
		DialTimeout: dialTimeout, MaxBodyBytes: defaultMaxBodyBytes, Reachability: reachability.New(reachability.Options{}),
		idle: map[string][]*conn{}, open: map[string]map[*conn]bool{},
	}
}

// Do sends a request to address and returns the response, which the caller must
// Close. Any error is a *Failure. fresh forces a new connection.
func (p *Pool) Do(ctx context.Context, address string, r *Request, fresh bool) (*Response, error) {
	c := p.takeIdle(address, r.Tag, fresh)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, &Failure{Step: "dial", Cause: contextCauseOr(ctx, err)}
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

// takeIdle removes and returns the most recently used idle connection that is still
// usable; nil if there is none.
func (p *Pool) takeIdle(address, tag string, fresh bool) *conn {
	if fresh {
		return nil
	}
	now := time.Now()
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && (tag == "" || c.tag != tag) && p.fitsLink(c) && c.reusable() {
			return c
		}
		c.close()
	}
}

func (p *Pool) popIdle(address string) *conn {
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

// putIdle keeps c for reuse; limit is the endpoint's Keep-Alive timeout, 0 if unknown.
func (p *Pool) putIdle(c *conn, limit time.Duration) {
	timeout := defaultIdleTimeout
	if limit > 0 {
		timeout = limit - keepAliveMargin
	}
	if timeout <= 0 {
		c.close()
		return
	}
	c.idleUntil = time.Now().Add(timeout)
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= maxIdlePerAddress
	if !full {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// CloseExpired closes idle connections whose idle timeout has passed and relayed ones that have
// ended, and removes addresses without idle connections.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && (!c.isRelayed() || c.reusable()) {
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

// fitsLink reports whether an idle connection may be used: a direct one while its link carries
// it, a relayed one while new direct ones can't be opened.
func (p *Pool) fitsLink(c *conn) bool {
	if p.Relay == nil {
		return true
	}
	over := p.Reachability.Link(c.address)
	if c.isRelayed() {
		return over.Loss() != reachability.NotLost
	}
	return over.CarriesOpen()
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	return p.dialWith(ctx, p.dialer(), address)
}

func (p *Pool) dialer() reachability.Dialer {
	return reachability.Dialer{Tracker: p.Reachability, Direct: p.dialDirect, Relay: p.Relay, Keep: p.keepProbe}
}

func (p *Pool) dialWith(ctx context.Context, dialer reachability.Dialer, address string) (*conn, error) {
	raw, over, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	return p.newConn(raw, address, over), nil
}

func (p *Pool) newConn(raw net.Conn, address string, over *reachability.Link) *conn {
	dialer := p.dialer()
	c := newConn(raw, address, over, func() { dialer.Suspect(over) })
	c.reads, c.maxBody = p.Reads, p.MaxBodyBytes
	p.register(c)
	return c
}

// keepProbe keeps a connection that showed that a link works again.
func (p *Pool) keepProbe(address string, raw net.Conn, over *reachability.Link) {
	p.putIdle(p.newConn(raw, address, over), 0)
}

// DialDirect opens a direct connection to an endpoint that the pool doesn't keep.
func (p *Pool) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	dialer := p.dialer()
	return dialer.DialDirect(ctx, address)
}

func (p *Pool) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	return tcpdial.New(p.DialTimeout, p.LocalIP).DialContext(ctx, "tcp4", address)
}
