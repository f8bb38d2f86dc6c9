package provision

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/orders"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Options holds a Service's dependencies; all but Part, Recorder, Registerer and
// Now are required.
type Options struct {
	Source     membership.Source
	Dialer     rpc.Dialer
	Home       pb.DRPCHomeServer // this daemon's own home
	Follower   endpoint.Follower // the one that requests use
	Control    orders.Control
	Endpoints  orders.Endpoints
	Part       logging.Part
	Recorder   timeline.Recorder
	Registerer prometheus.Registerer
	Now        func() time.Time // nil: time.Now
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
