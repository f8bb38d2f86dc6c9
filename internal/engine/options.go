package engine

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/prometheus/client_golang/prometheus"
)

// Options set up an HTTPClient. A zero field takes DefaultOptions' value.
type Options struct {
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
	// Owner is this process. Plain calls name it; without it an endpoint's home
	// takes a long call for one that nobody waits for, and cancels it.
	Owner fleet.Owner
	TLS   *tls.Config // nil: plain HTTP
	// Dial opens connections to endpoints; nil: TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	DialTimeout     time.Duration
	IdleConnTimeout time.Duration // a connection unused for so long is closed
	MaxIdle         int           // unused connections kept for each endpoint

	PrefillTimeout time.Duration // whole call, queue at the engine included
	ImportTimeout  time.Duration // whole call
	ReadTimeout    time.Duration // whole Held, Cache or State call
	OrderTimeout   time.Duration // whole call
	HeaderTimeout  time.Duration // until the answer's header, Decode
	CallTimeout    time.Duration // until the answer's header, plain calls
	FirstTimeout   time.Duration // from a stream's header to its first chunk
	IdleTimeout    time.Duration // between two chunks of a stream
	CallIdle       time.Duration // between two reads of a plain answer's body

	CancelTimeout time.Duration // a cancel is retried for so long
	CancelTry     time.Duration // one try
	CancelWorkers int           // concurrent tries
	CancelPending int           // unconfirmed cancels kept

	MaxReply        int64 // bytes of one JSON answer
	MaxCache        int64 // bytes of a cache snapshot
	MaxLine         int   // bytes of one line of a stream
	MaxCallRequest  int64 // bytes of a plain call's body
	MaxCallResponse int64 // bytes of a plain answer's body
}

// DefaultOptions gives the values used for zero fields.
func DefaultOptions() Options {
	return Options{
		DialTimeout:     time.Second,
		IdleConnTimeout: 15 * time.Second,
		MaxIdle:         32,
		PrefillTimeout:  60 * time.Second,
		ImportTimeout:   10 * time.Second,
		ReadTimeout:     3 * time.Second,
		OrderTimeout:    5 * time.Minute,
		HeaderTimeout:   5 * time.Second,
		CallTimeout:     60 * time.Second,
		FirstTimeout:    10 * time.Second,
		IdleTimeout:     3 * time.Second,
		CallIdle:        30 * time.Second,
		CancelTimeout:   10 * time.Second,
		CancelTry:       500 * time.Millisecond,
		CancelWorkers:   16,
		CancelPending:   16384,
		MaxReply:        1 << 20,
		MaxCache:        16 << 20,
		MaxLine:         64 << 10,
		MaxCallRequest:  64 << 20,
		MaxCallResponse: 256 << 20,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	orDefault(&o.DialTimeout, d.DialTimeout)
	orDefault(&o.IdleConnTimeout, d.IdleConnTimeout)
	orDefault(&o.MaxIdle, d.MaxIdle)
	orDefault(&o.PrefillTimeout, d.PrefillTimeout)
	orDefault(&o.ImportTimeout, d.ImportTimeout)
	orDefault(&o.ReadTimeout, d.ReadTimeout)
	orDefault(&o.OrderTimeout, d.OrderTimeout)
	orDefault(&o.HeaderTimeout, d.HeaderTimeout)
	orDefault(&o.CallTimeout, d.CallTimeout)
	orDefault(&o.FirstTimeout, d.FirstTimeout)
	orDefault(&o.IdleTimeout, d.IdleTimeout)
	orDefault(&o.CallIdle, d.CallIdle)
	orDefault(&o.CancelTimeout, d.CancelTimeout)
	orDefault(&o.CancelTry, d.CancelTry)
	orDefault(&o.CancelWorkers, d.CancelWorkers)
	orDefault(&o.CancelPending, d.CancelPending)
	orDefault(&o.MaxReply, d.MaxReply)
	orDefault(&o.MaxCache, d.MaxCache)
	orDefault(&o.MaxLine, d.MaxLine)
	orDefault(&o.MaxCallRequest, d.MaxCallRequest)
	orDefault(&o.MaxCallResponse, d.MaxCallResponse)
	return o
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
