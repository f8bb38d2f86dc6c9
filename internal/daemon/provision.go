package daemon

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/provision"
)

// newProvision stands between requests and homes: it counts what requests ask
// of each model, and empties endpoints before an order.
func (e *entryRole) newProvision(b *base, client engine.Client) {
	e.provision = provision.New(provision.Options{
		Source:     b.agent,
		Dialer:     b.pool,
		Home:       e.home,
		Follower:   e.follower,
		Control:    b.client,
		Endpoints:  client,
		Part:       newPart(b.logger, "provision"),
		Recorder:   b.ring,
		Registerer: b.registry,
	})
}

// endpointOrders are operators' orders to endpoints through this daemon.
type endpointOrders struct {
	lister endpointLister
	own    *entryRole // nil without the role
}

func (o endpointOrders) order(ctx context.Context, in *pb.OrderEndpointRequest, by string) (*pb.OrderEndpointReply, error) {
	if o.own == nil {
		return nil, trace.ConnectionProblem(nil, "this instance is no entry and can't reach endpoints; ask an entry")
	}
	digests, err := o.lister.list(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, d := range digests {
		if d.GetId() == in.GetEndpointId() {
			return o.own.provision.Order(ctx, in, d, by)
		}
	}
	return nil, trace.NotFound("no home knows endpoint %q", in.GetEndpointId())
}
