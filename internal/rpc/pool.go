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

// Pool dials peers and keeps their idle connections. It implements Dialer.
type Pool struct {
	tls  *tls.Config
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPool makes a pool that shows and checks certificates by config.
func NewPool(config *tls.Config) *Pool {
	return &Pool{
		tls: config,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleLife,
			Capacity:    totalConnections,
			KeyCapacity: idleConnections,
		}),
	}
}

// Conn implements Dialer. It dials at the first call, not here.
func (p *Pool) Conn(ctx context.Context, address string) (drpc.Conn, error) {
	if address == "" {
		return nil, trace.BadParameter("no address to dial")
	}
	return p.pool.Get(ctx, address, p.dial), nil
}

// Close closes the idle connections.
func (p *Pool) Close() error { return p.pool.Close() }

func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &tls.Dialer{NetDialer: &net.Dialer{}, Config: p.tls}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't reach process at %s", address)
	}
	return drpcconn.NewWithOptions(connection, drpcconn.Options{Manager: managerOptions()}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
		SoftCancel:      true,
		SoftCancelGrace: 5 * time.Millisecond,
	}
}
