package engine

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/reachability"
	"github.com/hyssopsail/hyssopsail/internal/readlimit"
	"github.com/prometheus/client_golang/prometheus"
)

// Options configures an HTTPClient. Zero timeouts and limits take the values of
// DefaultOptions.
type Options struct {
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
	// Owner is this process, which plain calls name. Without it an endpoint's home
	// regards a long call as abandoned and cancels it.
	Owner fleet.Owner
	TLS   *tls.Config // nil: plain HTTP
	// LocalIP is the source address of connections; nil: chosen by the kernel.
	LocalIP net.IP
	// Dial opens direct connections to endpoints; nil: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Reachability records what connections show of the links to endpoints; nil: a table of its own.
	Reachability *reachability.Tracker
	// Reads records the bounds that answers meet; nil: nothing does.
	Reads *readlimit.Guard
	// Relay opens connections over lost links; nil: none.
	Relay reachability.Relay

	DialTimeout             time.Duration
	IdleConnTimeout         time.Duration // an idle connection is closed after this time
	MaxIdleConnsPerEndpoint int           // idle connections kept for each endpoint

	PrefillTimeout      time.Duration // whole call, queue at the engine included
	ImportTimeout       time.Duration // whole call
	ReadTimeout         time.Duration // whole Held, Cache or State call
	OrderTimeout        time.Duration // whole call
	DecodeHeaderTimeout time.Duration // until the answer's header, Decode calls
	CallHeaderTimeout   time.Duration // until the answer's header, plain calls
	FirstChunkTimeout   time.Duration // from a stream's header to its first chunk
	StreamIdleTimeout   time.Duration // between two chunks of a stream
	CallIdleTimeout     time.Duration // between two reads of a plain answer's body

	CancelTimeout        time.Duration // for a cancel with all its retries
	CancelRequestTimeout time.Duration // for one send of a cancel
	MaxCancelWorkers     int           // concurrent sends of cancels
	MaxPendingCancels    int           // unconfirmed cancels kept for retries

	MaxReplyBytes        int64 // of one JSON answer
	MaxCacheBytes        int64 // of a cache snapshot
	MaxLineBytes         int   // of one line of a stream
	MaxCallRequestBytes  int64 // of a plain call's body
	MaxCallResponseBytes int64 // of a plain answer's body
}

// DefaultOptions returns the values used for zero fields.
func DefaultOptions() Options {
	return Options{
		DialTimeout:             time.Second,
		IdleConnTimeout:         15 * time.Second,
		MaxIdleConnsPerEndpoint: 32,
		PrefillTimeout:          60 * time.Second,
		ImportTimeout:           10 * time.Second,
		ReadTimeout:             3 * time.Second,
		OrderTimeout:            5 * time.Minute,
		DecodeHeaderTimeout:     5 * time.Second,
		CallHeaderTimeout:       60 * time.Second,
		FirstChunkTimeout:       10 * time.Second,
		StreamIdleTimeout:       3 * time.Second,
		CallIdleTimeout:         30 * time.Second,
		CancelTimeout:           10 * time.Second,
		CancelRequestTimeout:    500 * time.Millisecond,
		MaxCancelWorkers:        16,
		MaxPendingCancels:       16384,
		MaxReplyBytes:           1 << 20,
		MaxCacheBytes:           16 << 20,
		MaxLineBytes:            64 << 10,
		MaxCallRequestBytes:     64 << 20,
		MaxCallResponseBytes:    256 << 20,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	orDefault(&o.DialTimeout, d.DialTimeout)
	orDefault(&o.IdleConnTimeout, d.IdleConnTimeout)
	orDefault(&o.MaxIdleConnsPerEndpoint, d.MaxIdleConnsPerEndpoint)
	orDefault(&o.PrefillTimeout, d.PrefillTimeout)
	orDefault(&o.ImportTimeout, d.ImportTimeout)
	orDefault(&o.ReadTimeout, d.ReadTimeout)
	orDefault(&o.OrderTimeout, d.OrderTimeout)
	orDefault(&o.DecodeHeaderTimeout, d.DecodeHeaderTimeout)
	orDefault(&o.CallHeaderTimeout, d.CallHeaderTimeout)
	orDefault(&o.FirstChunkTimeout, d.FirstChunkTimeout)
	orDefault(&o.StreamIdleTimeout, d.StreamIdleTimeout)
	orDefault(&o.CallIdleTimeout, d.CallIdleTimeout)
	orDefault(&o.CancelTimeout, d.CancelTimeout)
	orDefault(&o.CancelRequestTimeout, d.CancelRequestTimeout)
	orDefault(&o.MaxCancelWorkers, d.MaxCancelWorkers)
	orDefault(&o.MaxPendingCancels, d.MaxPendingCancels)
	orDefault(&o.MaxReplyBytes, d.MaxReplyBytes)
	orDefault(&o.MaxCacheBytes, d.MaxCacheBytes)
	orDefault(&o.MaxLineBytes, d.MaxLineBytes)
	orDefault(&o.MaxCallRequestBytes, d.MaxCallRequestBytes)
	orDefault(&o.MaxCallResponseBytes, d.MaxCallResponseBytes)
	if o.Reachability == nil {
		o.Reachability = reachability.New(reachability.Options{})
	}
	return o
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
