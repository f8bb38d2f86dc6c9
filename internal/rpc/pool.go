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

	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/hyssopsail/hyssopsail/internal/tcpdial"
)

// Limits of the pool. A drpc connection carries one call at a time, so a peer
// may have several connections.
const (
	dialTimeout     = 2 * time.Second
	maxIdlePerPeer  = 8
	maxIdleTotal    = 1024
	connIdleTimeout = 30 * time.Second
)

// Pool dials peers and keeps their idle connections. It implements Dialer. When
// the context of a call ends, its connection is closed, so that an unreachable or
// frozen peer never leaves a half-used connection for the next call.
type Pool struct {
	tls     *tls.Config
	clock   Clock
	localIP net.IP   // nil: chosen by the kernel
	metrics *Metrics // nil: none
	reads   *readlimit.Guard
	spares  *spareConns
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool returns a pool that presents and verifies certificates as config says. A
// nil config means no TLS, for a network that no other party can access. clock
// stamps each call; it may be nil.
func NewPool(config *tls.Config, clock Clock) *Pool {
	return &Pool{
		tls:    config,
		clock:  clock,
		spares: newSpareConns(),
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  connIdleTimeout,
			Capacity:    maxIdleTotal,
			KeyCapacity: maxIdlePerPeer,
		}),
	}
}

// SetLocalIP sets the local IP address of outgoing connections to the one that the
// daemon listens on, so that peers and packet filters see one address for a
// daemon. It must be called before the first Conn. An unspecified IP is ignored.
func (p *Pool) SetLocalIP(ip net.IP) {
	if !ip.IsUnspecified() {
		p.localIP = ip
	}
}

// SetMetrics makes the pool count its calls in metrics. It must be called before the
// first Conn.
func (p *Pool) SetMetrics(metrics *Metrics) { p.metrics = metrics }

// SetReads bounds the memory of what all calls receive. It must be called before the first Conn.
func (p *Pool) SetReads(reads *readlimit.Guard) { p.reads = reads }

// Conn implements Dialer. The connection is dialled by its first call.
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
	raw, err := tcpdial.New(0, p.localIP).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't reach process at %s", address)
	}
	counted := &countedConn{Conn: raw, peer: address}
	if p.tls == nil {
		return measuredConn{Conn: drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()}), counted: counted, metrics: p.metrics, reads: p.reads}, nil
	}
	secure := tls.Client(counted, p.tls)
	err = secure.HandshakeContext(ctx)
	p.metrics.recordHandshake(sideClient, counted)
	if err != nil {
		_ = raw.Close() // the handshake's error is returned
		return nil, trace.ConnectionProblem(err, "no secure connection to process at %s", address)
	}
	conn := drpcconn.NewWithOptions(secure, drpcconn.Options{Manager: managerOptions()})
	return measuredConn{Conn: conn, counted: counted, metrics: p.metrics, reads: p.reads}, nil
}

// managerOptions returns the drpc options that clients and servers share.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}
}
