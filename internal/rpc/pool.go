package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

// The pool's bounds. A drpc connection carries one call at a time, so a peer
// may have several.
const (
	dialTimeout      = 2 * time.Second
	idleConnections  = 8 // kept for one peer
	totalConnections = 1024
	idleLife         = 30 * time.Second
)

// Pool dials peers and keeps their idle connections. It implements Dialer. A
// call whose context ends closes its connection: a peer that was cut off or
// frozen never leaves a half-used connection for the next call.
type Pool struct {
	tls    *tls.Config
	clock  Clock
	from   net.IP   // nil: the kernel chooses
	stats  *Metrics // nil: none
	spares *spares
	pool   *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool makes a pool that shows and checks certificates by config. A nil
// config is plain mode, for a network on which nobody else can speak or listen.
// clock stamps each call; nil for none.
func NewPool(config *tls.Config, clock Clock) *Pool {
	return &Pool{
		tls:    config,
		clock:  clock,
		spares: newSpares(),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleLife,
			Capacity:    totalConnections,
			KeyCapacity: idleConnections,
		}),
	}
}

// DialFrom makes the pool dial from the IP number that its daemon listens on,
// so that peers and packet filters see one number for a daemon. It is called
// before the first Conn. An unspecified IP changes nothing.
func (p *Pool) DialFrom(ip net.IP) {
	if !ip.IsUnspecified() {
		p.from = ip
	}
}

// Measure makes the pool count its calls. It is called before the first Conn.
func (p *Pool) Measure(metrics *Metrics) { p.stats = metrics }

// Conn implements Dialer. It dials at the first call, not here.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	if address == "" {
		return nil, trace.BadParameter("no address to dial")
	}
	conn := p.pool.Get(ctx, address, p.dial)
	if p.clock == nil {
		return conn, nil
	}
	return stampedConn{Conn: conn, clock: p.clock}, nil
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	p.spares.close()
	return p.pool.Close()
}

func (p *Pool) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := netDialer(p.from).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't reach process at %s", address)
	}
	counted := &countedConn{Conn: raw}
	if p.tls == nil {
		return measuredConn{Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), counted: counted, metrics: p.stats}, nil
	}
	secure := tls.Client(counted, p.tls)
	err = secure.HandshakeContext(ctx)
	p.stats.shook(sideClient, counted)
	if err != nil {
		_ = raw.Close() // the handshake's error says more
		return nil, trace.ConnectionProblem(err, "no secure connection to process at %s", address)
	}
	conn := drpcconn.NewWithOptions(secure, drpcconn.Options{Manager: managerOptions()})
	return measuredConn{Conn: conn, counted: counted, metrics: p.stats}, nil
}

// managerOptions are those of both sides.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
	}
}
