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

// Options are what a handler needs. Current, Endpoints, Order, Timeline, Health, Ready
// and Metrics may be nil: paths of the missing ones are then not found.
type Options struct {
	Control   Control
	Tree      func() *settings.Tree // newest applied settings; nil or without a fleet before bootstrap
	Secret    config.Secret         // the fleet's
	Current   func() bool           // whether Tree is confirmed to be in force; nil: always
	Now       func() time.Time
	Log       logging.Part
	Endpoints func(ctx context.Context) ([]*pb.EndpointDigest, error)
	// Order gives an order to an endpoint for the operator named by.
	Order    func(ctx context.Context, in *pb.OrderEndpointRequest, by string) (*pb.OrderEndpointReply, error)
	Timeline func(ctx context.Context, query *pb.TimelineQuery) (TimelineReply, error)
	Health   http.Handler
	Ready    http.Handler
	Metrics  http.Handler
}

// TimelineReply is the merged time line of all reachable instances.
type TimelineReply struct {
	Events      []*pb.TimelineEvent
	Unreachable []string // instance IDs that gave no answer in time
	Dropped     uint64   // events overwritten in rings, summed
}
