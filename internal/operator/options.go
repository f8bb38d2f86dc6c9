package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/config"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Options configures a handler. Endpoints, Order, Timeline, Health, Ready and Metrics may
// be nil; their paths then answer 404. Current may be nil, too.
type Options struct {
	Control   Control
	Tree      func() *settings.Tree // latest applied settings; nil or without a fleet before bootstrap
	Secret    config.Secret         // the fleet's
	Current   func() bool           // reports whether Tree is confirmed to be in force; nil: always
	Now       func() time.Time
	Log       logging.Part
	Endpoints func(ctx context.Context) ([]*pb.EndpointDigest, error)
	// Order sends an order to an endpoint on behalf of the named operator.
	Order    func(ctx context.Context, in *pb.OrderEndpointRequest, operatorName string) (*pb.OrderEndpointReply, error)
	Timeline func(ctx context.Context, query *pb.TimelineQuery) (TimelineReply, error)
	Health   http.Handler
	Ready    http.Handler
	Metrics  http.Handler
}

// TimelineReply is the merged timeline of all reachable instances.
type TimelineReply struct {
	Events      []*pb.TimelineEvent
	Unreachable []string // IDs of instances that didn't answer in time
	Dropped     uint64   // number of events overwritten in the instances' ring buffers
}
